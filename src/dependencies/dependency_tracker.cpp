#include "dependencies/dependency_tracker.hpp"
#include <algorithm>
#include <cstdint>
#include <vector>

namespace spindlecroft::dependencies {

using catalog::attempt_phase;

namespace {

// Returns whether the attempt runs on no worker, because no start command was sent or because it
// has exited.
bool needs_no_stop(const catalog::attempt &attempt) {
    return attempt.phase == attempt_phase::committing ||
           attempt.phase == attempt_phase::committed || attempt.phase == attempt_phase::exited;
}

std::vector<std::uint32_t> live_indices(const catalog::job &job) {
    std::vector<std::uint32_t> indices;
    indices.reserve(job.current_attempts.size());
    for (const auto &[index, attempt] : job.current_attempts)
        indices.push_back(index);
    return indices;
}

} // namespace

// Readiness is derived from durable records alone, and a job with a predecessor that is not known
// yet is neither ready nor cancelled. Otherwise a job could start too early, or be orphaned after a
// failover.
void dependency_tracker::add(catalog::job &added, time_point now) {
    added.ready_at = added.accepted_at;
    if (added.spec.predecessors.empty())
        return;
    const auto &id = added.spec.id;
    graph_.add(id, added.spec.predecessors);
    for (const auto &predecessor : added.spec.predecessors)
        if (auto *active = state_.find_job(predecessor); active && active->cancelled)
            graph_.note_end(predecessor, {job_state::cancelled, now});
    auto standing = graph_.status_of(id);
    added.ready = standing == catalog::dependency_status::ready;
    added.ready_at = now;
    if (standing == catalog::dependency_status::cancelled)
        cancel(added, std::nullopt, now);
}

void dependency_tracker::on_predecessor_end(const std::string &id,
                                            const catalog::wall_predecessor_end &end,
                                            time_point now) {
    catalog::predecessor_end steady_end{end.state, now};
    steady_end.at = end.at ? std::min(now, state_.term().clock.to_steady(*end.at)) : now;
    apply(graph_.note_end(id, steady_end), now);
}

void dependency_tracker::on_job_ended(const std::string &id,
                                      const catalog::wall_predecessor_end &end, time_point now) {
    graph_.remove(id);
    on_predecessor_end(id, end, now);
}

void dependency_tracker::cancel(catalog::job &cancelled, std::optional<wall_time> recorded_at,
                                time_point now) {
    cancelled.cancelled = true;
    // The cancellation counts from the time of the record, when the user was answered, not from
    // when this controller reads it. Two clocks are involved, each off by at most the bound.
    cancelled.cancelled_at = now;
    if (recorded_at)
        cancelled.cancelled_at = std::min(now, state_.term().clock.to_steady(*recorded_at) -
                                                   2 * settings_.max_clock_error);
    withdraw_tasks(cancelled);
    apply(graph_.note_end(cancelled.spec.id, {job_state::cancelled, now}), now);
}

void dependency_tracker::withdraw_tasks(catalog::job &cancelled) {
    while (!cancelled.queued_on.empty())
        state_.remove_from_queue(cancelled, cancelled.queued_on.begin()->first);
    for (auto index : live_indices(cancelled)) {
        auto &attempt = cancelled.current_attempts[index];
        if (needs_no_stop(attempt))
            state_.release_attempt(cancelled, index, false);
        else
            state_.request_stop(attempt, seconds{});
    }
}

void dependency_tracker::apply(const catalog::dependency_graph::changes &changes, time_point now) {
    for (const auto &id : changes.ready)
        mark_ready(id);
    // These jobs were never ready, so they have no tasks.
    for (const auto &id : changes.cancelled)
        if (auto *dependent = state_.find_job(id); dependent && !dependent->cancelled)
            cancel(*dependent, std::nullopt, now);
}

void dependency_tracker::mark_ready(const std::string &id) {
    auto *job = state_.find_job(id);
    if (!job)
        return;
    job->ready = true;
    job->ready_at = std::max(job->accepted_at, graph_.find(id)->ready_at);
    state_.request_planning();
}

std::set<std::string> dependency_tracker::unresolved_predecessors() const {
    return graph_.unresolved([this](const std::string &id) { return state_.jobs().contains(id); });
}

} // namespace spindlecroft::dependencies
