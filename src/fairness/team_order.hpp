// The order in which a team's jobs of one priority are served while not all of them can run at
// once. Pure functions.
#pragma once
#include "common/time.hpp"
#include <cstddef>
#include <cstdint>
#include <vector>

namespace spindlecroft::fairness {

/// The properties of a waiting job that its place in the order depends on.
struct waiting_job {
    /// Time left until each of the times by which the job should be complete, ascending. Negative
    /// for times that have passed.
    std::vector<seconds> due_in;
    /// Total run time of the tasks that are not done.
    seconds remaining_work{};
    /// Least time until the job is complete, with any number of machines.
    seconds min_completion_time{};
    /// Time since the job became ready.
    seconds wait_time{};
    /// Whether any task of the job has started.
    bool has_started = false;
    /// Number of slots that the job's tasks occupy now.
    double occupied_slots = 0;
};

/// A job's turn to place tasks.
struct turn {
    /// Position of the job in the given list.
    std::size_t job = 0;
    /// Maximum number of tasks placed before the next turn.
    std::uint32_t max_tasks = 0;
    auto operator<=>(const turn &) const = default;
};
/// Value of turn::max_tasks for an unlimited number of tasks.
inline constexpr std::uint32_t all_tasks = ~std::uint32_t(0);

/// Returns the turns in the order in which they are served.
///
/// Jobs that can still meet one of their due times come first, then the others, and within both
/// groups the job with the least remaining work. Under overload, this lets the largest number of
/// jobs be in time. An order by due time would make all of them slightly late when the estimates
/// are wrong.
///
/// To prevent starvation, a job that has waited long without having started any task starts one
/// before all others, and the oldest of the jobs long past all due times gets a small share of the
/// slots.
[[nodiscard]] std::vector<turn> serving_order(const std::vector<waiting_job> &jobs, double slots);

} // namespace spindlecroft::fairness
