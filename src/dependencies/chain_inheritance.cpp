#include "dependencies/chain_inheritance.hpp"
#include "constants.hpp"
#include "planning/bidder.hpp"
#include "planning/placement_rules.hpp"
#include "planning/rental_offer.hpp"
#include <algorithm>
#include <cmath>
#include <utility>

namespace spindlecroft::dependencies {

void chain_inheritance::update(const catalog::dependency_graph &graph) {
    if (graph.nodes().empty() && inheriting_jobs_.empty())
        return;
    auto inherited =
        fairness::inherit_urgency(graph, [this](const std::string &id) { return urgency_of(id); });
    auto formerly_inheriting = std::exchange(inheriting_jobs_, {});
    for (const auto &[id, urgency] : inherited) {
        inheriting_jobs_.insert(id);
        formerly_inheriting.erase(id);
        assign(id, urgency);
    }
    for (const auto &id : formerly_inheriting)
        assign(id, {});
}

std::optional<fairness::job_urgency> chain_inheritance::urgency_of(const std::string &id) const {
    const auto *job = state_.find_job(id);
    if (!job || job->is_closed())
        return {};
    fairness::job_urgency urgency;
    urgency.priority = job->own_priority;
    urgency.duration = estimate_duration(*job);
    if (auto deadline = job->spec.deadline.value_or(seconds{}); deadline > seconds{})
        urgency.due = own_due_times(*job, deadline);
    return urgency;
}

fairness::due_times chain_inheritance::own_due_times(const catalog::job &job,
                                                     seconds deadline) const {
    seconds latest = deadline;
    for (const auto &objective : settings_.objectives)
        if (objective.job_class == job.spec.job_class)
            latest = std::max(latest, deadline * objective.deadline_factor);
    return fairness::due_times{job.accepted_at + deadline, job.accepted_at + latest};
}

// Estimates the time from the job's readiness to its end: the delay after its predecessors, the
// image fetch, and the run time of its tasks in waves.
seconds chain_inheritance::estimate_duration(const catalog::job &job) const {
    return constants::chain_stage_latency + slowest_image_fetch(job.spec) +
           wave_count(job) * constants::chain_run_margin * state_.expected_run_time(job);
}

// Returns the number of waves in which the team's limit lets the remaining tasks run.
double chain_inheritance::wave_count(const catalog::job &job) const {
    const auto &spec = job.spec;
    double tasks = spec.tasks - job.reported_done_count;
    double count = 1;
    const auto *team = teams_.find(spec.team);
    if (!team)
        return count;
    if (team->cpus_max > 0)
        count = std::max(count, std::ceil(tasks * spec.cpus / team->cpus_max));
    if (team->gpus_max > 0)
        count = std::max(count, std::ceil(tasks * spec.gpus / team->gpus_max));
    return count;
}

seconds chain_inheritance::slowest_image_fetch(const job_spec &spec) const {
    double slowest = 0; // GB/s; 0: no type with a known rate
    for (const auto &type : state_.types())
        if (planning::type_allowed(spec, type.name) && type.fetch_gb_per_s > 0)
            slowest = slowest > 0 ? std::min(slowest, type.fetch_gb_per_s) : type.fetch_gb_per_s;
    return seconds{slowest > 0 ? spec.image_gb / slowest : 0};
}

void chain_inheritance::assign(const std::string &id,
                               const fairness::inherited_urgency &inherited) {
    auto *job = state_.find_job(id);
    if (!job)
        return;
    job->inherited_first_due = inherited.due ? std::optional(inherited.due->first) : std::nullopt;
    job->inherited_last_due = inherited.due ? std::optional(inherited.due->last) : std::nullopt;
    auto priority = std::min(job->own_priority, inherited.priority);
    if (priority == job->spec.priority)
        return;
    job->spec.priority = priority;
    for (const auto &[index, attempt] : job->current_attempts)
        if (auto *machine = state_.find_machine(attempt.machine))
            machine->mark_changed(); // The machine's bidder depends on the priorities of its tasks.
}

} // namespace spindlecroft::dependencies
