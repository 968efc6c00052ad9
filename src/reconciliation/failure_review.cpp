// Handling of suspect jobs and faulty machines.
#include "reconciliation/failure_review.hpp"
#include <algorithm>
#include <spdlog/spdlog.h>

namespace spindlecroft::reconciliation {

void failure_review::restore_suspects(const std::vector<std::string> &jobs, time_point now) {
    for (const auto &id : jobs)
        if (state_.find_job(id))
            state_.failures().restore_suspect(id, now);
}

void failure_review::on_attempt_failed(workers::machine &machine, catalog::job &job,
                                       const catalog::attempt &attempt, time_point now) {
    workers::failure_ledger::failure failure{job.spec.id, machine.name,
                                             attempt.observed_run_time(now), is_working(job)};
    bool became_suspect = state_.failures().record_failure(failure, now);
    if (became_suspect) {
        spdlog::info(
            "job {} failed on several machines and ran on none: retrying one task at a time",
            job.spec.id);
        while (!job.queued_on.empty()) {
            auto index = job.queued_on.begin()->first;
            state_.remove_from_queue(job, index);
            job.requeue_task(index);
        }
    }
    machine.probation_until = state_.failures().probation_until(machine.name);
    if (machine.probation_until > now)
        state_.clear_queue(machine);
    quarantine_faulty_machines();
}

void failure_review::on_attempt_completed(const catalog::job &job) {
    state_.failures().note_job_works(job.spec.id);
    quarantine_faulty_machines();
}

void failure_review::review() {
    for (const auto &id : state_.failures().jobs_with_failures()) {
        const auto *job = state_.find_job(id);
        if (!job || job->is_closed())
            state_.failures().forget_job(id);
        else if (is_working(*job))
            state_.failures().note_job_works(id);
    }
    quarantine_faulty_machines();
    for (auto &[name, machine] : state_.machines())
        machine.probation_until = state_.failures().probation_until(name);
}

bool failure_review::may_retry(const catalog::job &job, time_point now) const {
    if (!state_.failures().is_suspect(job.spec.id))
        return true;
    return now >= state_.failures().retry_at(job.spec.id) && job.queued_on.empty() &&
           job.current_attempts.empty();
}

bool failure_review::is_working(const catalog::job &job) const {
    if (job.reported_done_count > 0)
        return true;
    seconds required = state_.failures().required_run_time(job.spec.id);
    // Measured up to the last heartbeat that showed it running: without heartbeats it is unknown
    // whether the task still runs.
    return std::any_of(job.current_attempts.begin(), job.current_attempts.end(),
                       [&](const auto &entry) {
                           const auto &attempt = entry.second;
                           return attempt.running_since &&
                                  *attempt.last_seen_running - *attempt.running_since > required;
                       });
}

void failure_review::quarantine_faulty_machines() {
    for (const auto &name : state_.failures().take_faulty_machines()) {
        auto *machine = state_.find_machine(name);
        if (!machine || machine->is_quarantined)
            continue;
        spdlog::info("machine {} quarantined: tasks fail on it that should run", name);
        machine->is_quarantined = true;
        state_.withdraw_unsent_attempts(*machine);
    }
}

} // namespace spindlecroft::reconciliation
