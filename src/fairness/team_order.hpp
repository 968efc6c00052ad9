// In which order a team's jobs of one priority are served while not all can run at once. Pure.
#pragma once
#include "common/time.hpp"
#include <cstddef>
#include <cstdint>
#include <vector>

namespace spindlecroft::fairness {

/// What the order of service depends on.
struct waiting_job {
    std::vector<seconds> due_in; // until the times by which it should be complete, the first first
    seconds remaining_work{};    // run time of its tasks that are not done
    seconds min_completion_time{}; // at least this long even with any number of machines
    seconds wait_time{};           // since it was accepted
    bool has_started = false;      // some task of it has started
    double occupied_slots = 0;     // slots that it has now
};

/// A job's turn: so many of its tasks, before the next turn.
struct turn {
    std::size_t job = 0; // position in the given list
    std::uint32_t max_tasks = 0;
    auto operator<=>(const turn &) const = default;
};
/// The number of tasks in a turn without bound.
inline constexpr std::uint32_t all_tasks = ~std::uint32_t(0);

/// Least work first among the jobs that can still be complete by one of their due times, then the
/// others in the same way: while more is asked for than can be done, that lets the most jobs be in
/// time, and unlike the order by due time it does not fail them all by a little when estimates err.
/// So that it starves no one, a job that has waited long without any task begins before all others,
/// and the oldest of those long past all due times has a small share of the slots.
[[nodiscard]] std::vector<turn> serving_order(const std::vector<waiting_job> &jobs, double slots);

} // namespace spindlecroft::fairness
