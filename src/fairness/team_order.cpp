#include "fairness/team_order.hpp"
#include "constants.hpp"
#include <algorithm>
#include <numeric>
#include <optional>

namespace spindlecroft::fairness {

namespace {

// Returns whether the job cannot meet any of its due times.
bool is_late(const waiting_job &job) {
    return job.due_in.empty() || job.due_in.back() < job.min_completion_time;
}

std::vector<bool> find_late_jobs(const std::vector<waiting_job> &jobs) {
    std::vector<bool> late;
    late.reserve(jobs.size());
    for (const auto &job : jobs)
        late.push_back(is_late(job));
    return late;
}

// Returns the jobs that waited long without having started a task, the longest wait first.
std::vector<std::size_t> find_starved_jobs(const std::vector<waiting_job> &jobs) {
    std::vector<std::size_t> starved;
    for (std::size_t i = 0; i < jobs.size(); ++i)
        if (!jobs[i].has_started && jobs[i].wait_time > constants::starvation_threshold)
            starved.push_back(i);
    std::stable_sort(starved.begin(), starved.end(), [&](auto left, auto right) {
        return jobs[left].wait_time > jobs[right].wait_time;
    });
    return starved;
}

// Returns the late job with the longest wait, if it waited long enough for a share of the slots.
std::optional<std::size_t> find_oldest_aged_job(const std::vector<waiting_job> &jobs,
                                                const std::vector<bool> &late) {
    std::optional<std::size_t> oldest;
    for (std::size_t i = 0; i < jobs.size(); ++i)
        if (late[i] && jobs[i].wait_time > constants::aging_threshold &&
            (!oldest || jobs[i].wait_time > jobs[*oldest].wait_time))
            oldest = i;
    return oldest;
}

// Returns all jobs, those that can be in time before the late ones, each ordered by remaining work.
std::vector<std::size_t> order_by_least_work(const std::vector<waiting_job> &jobs,
                                             const std::vector<bool> &late) {
    std::vector<std::size_t> order(jobs.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(), [&](auto left, auto right) {
        return late[left] != late[right] ? !late[left]
                                         : jobs[left].remaining_work < jobs[right].remaining_work;
    });
    return order;
}

} // namespace

std::vector<turn> serving_order(const std::vector<waiting_job> &jobs, double slots) {
    auto late = find_late_jobs(jobs);
    auto starved = find_starved_jobs(jobs);
    std::vector<turn> turns;
    turns.reserve(starved.size() + 1 + jobs.size());
    for (auto job : starved)
        turns.push_back({job, 1});
    if (auto aged = find_oldest_aged_job(jobs, late)) {
        double share =
            std::max(1.0, constants::aged_job_share * slots) - jobs[*aged].occupied_slots;
        if (share >= 1)
            turns.push_back({*aged, static_cast<std::uint32_t>(share)});
    }
    for (auto job : order_by_least_work(jobs, late))
        turns.push_back({job, all_tasks});
    return turns;
}

} // namespace spindlecroft::fairness
