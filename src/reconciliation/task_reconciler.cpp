// Listed, missing, exited and unknown tasks.
#include "reconciliation/task_reconciler.hpp"
#include "constants.hpp"
#include <algorithm>
#include <spdlog/spdlog.h>

namespace spindlecroft::reconciliation {

using catalog::attempt_phase;

namespace {

// Completed tasks of a job before their mean run time serves as reference for a machine's speed.
constexpr int speed_reference_tasks = 3;
// Bounds on one measurement of a machine's speed, relative to the mean.
constexpr double min_speed_sample = 0.1;
constexpr double max_speed_sample = 3.0;

command cleanup_command(command_kind kind, const task_status &status) {
    return {kind, status.job, status.index, status.attempt, seconds{}};
}

attempt_phase phase_of(task_state listed) {
    switch (listed) {
    case task_state::running:
        return attempt_phase::running;
    case task_state::checkpointing:
        return attempt_phase::checkpointing;
    case task_state::fetching:
    case task_state::exited:
        break;
    }
    return attempt_phase::fetching;
}

bool is_new_result(const catalog::job *job, const task_status &status) {
    return status.cause == exit_cause::done && job && !job->is_closed() &&
           status.index < job->spec.tasks && job->spec.shape == job_shape::array &&
           !job->done[status.index];
}

bool awaits_durability(const catalog::job *job, const task_status &status) {
    return status.cause == exit_cause::done && job && status.index < job->spec.tasks &&
           !job->is_closed() && job->done[status.index] && !job->done_durable[status.index];
}

} // namespace

void task_reconciler::reconcile_listed(workers::machine &machine, const task_status &status,
                                       time_point now) {
    auto *job = state_.find_job(status.job);
    auto *attempt = state_.find_attempt({status.job, status.index}, status.attempt);
    if (!attempt || attempt->machine != machine.name) {
        reconcile_unknown(machine, job, status, now);
        return;
    }
    if (attempt->phase == attempt_phase::exited)
        return;
    attempt->inherited = false;
    switch (status.state) {
    case task_state::fetching:
        attempt->phase = attempt_phase::fetching;
        break;
    case task_state::running:
        reconcile_running(machine, *job, *attempt, now);
        break;
    case task_state::checkpointing:
        attempt->phase = attempt_phase::checkpointing;
        break;
    case task_state::exited:
        reconcile_exited(machine, *job, *attempt, status, now);
        break;
    }
}

start_evidence task_reconciler::reconcile_missing(workers::machine &machine, catalog::job &job,
                                                  catalog::attempt &attempt, workers::evidence seen,
                                                  time_point now) {
    auto liveness = assess_attempt(attempt, machine, {seen, state_.term().first_token, now});
    if (liveness == workers::attempt_liveness::possibly_live)
        return start_evidence::none;
    // If a new incarnation ended the task, that does not show whether the start arrived.
    bool is_start_not_received = seen == workers::evidence::missing_from_heartbeat &&
                                 attempt.phase == attempt_phase::sent && !attempt.inherited;
    if (liveness == workers::attempt_liveness::start_dropped)
        attempt.phase = attempt_phase::committed;
    else
        state_.release_attempt(job, attempt.task.index, true);
    return is_start_not_received ? start_evidence::not_received : start_evidence::none;
}

void task_reconciler::reconcile_unknown(workers::machine &machine, catalog::job *job,
                                        const task_status &status, time_point now) {
    if (status.state == task_state::exited)
        reconcile_unknown_exit(machine, job, status, now);
    else if (job && status.index < job->spec.tasks && !job->current_attempts.contains(status.index))
        adopt(machine, *job, status, now);
    else
        machine.cleanup_commands.push_back(cleanup_command(command_kind::stop, status));
}

void task_reconciler::reconcile_unknown_exit(workers::machine &machine, catalog::job *job,
                                             const task_status &status, time_point now) {
    // A completed task counts regardless of the attempt that completed it.
    if (is_new_result(job, status)) {
        mark_task_done(*job, status.index, now);
        if (auto *other = state_.find_attempt({status.job, status.index})) {
            if (other->possibly_running())
                state_.request_stop(*other, seconds{});
            else
                state_.release_attempt(*job, status.index, false);
        }
    }
    // The agent keeps it until the completion is durable; otherwise the result could be lost.
    if (!awaits_durability(job, status))
        machine.cleanup_commands.push_back(cleanup_command(command_kind::remove, status));
}

void task_reconciler::reconcile_running(workers::machine &machine, const catalog::job &job,
                                        catalog::attempt &attempt, time_point now) {
    if (attempt.phase != attempt_phase::running) {
        attempt.running_since = now;
        state_.request_planning();
        spdlog::debug("task {}/{} is running on machine {} ({} {}), {:.1f} s after its job was "
                      "accepted and {:.1f} s after its placement",
                      attempt.task.job, attempt.task.index, machine.name, machine.type.name,
                      machine.zone, (now - job.accepted_at).count(),
                      (now - attempt.created_at).count());
    }
    state_.failures().note_machine_works(machine.name, attempt.created_at);
    attempt.phase = attempt_phase::running;
    attempt.last_seen_running = now;
    machine.note_image_use(job.spec.image, job.spec.image_gb, now);
}

void task_reconciler::reconcile_exited(workers::machine &machine, catalog::job &job,
                                       catalog::attempt &attempt, const task_status &status,
                                       time_point now) {
    state_.request_planning();
    attempt.phase = attempt_phase::exited;
    attempt.cause = status.cause;
    bool is_result = false; // the agent keeps a result until it is durable
    switch (status.cause) {
    case exit_cause::done:
        is_result = job.spec.shape == job_shape::array && !job.is_closed();
        attempt_completed(machine, job, attempt, now);
        break;
    case exit_cause::error:
        failures_.on_attempt_failed(machine, job, attempt, now);
        break;
    case exit_cause::insufficient_resources:
    case exit_cause::busy:
        machine.refused_until = now + constants::refused_start_pause;
        state_.clear_queue(machine);
        break;
    case exit_cause::unknown_image:
        // The user may not have uploaded the job's image yet.
        job.backoff_until = now + constants::refused_start_pause;
        break;
    case exit_cause::stopped:
    case exit_cause::none:
        break;
    }
    if (is_result)
        return;
    state_.release_attempt(job, attempt.task.index, true);
    machine.cleanup_commands.push_back(cleanup_command(command_kind::remove, status));
}

void task_reconciler::attempt_completed(workers::machine &machine, catalog::job &job,
                                        const catalog::attempt &attempt, time_point now) {
    state_.failures().note_machine_works(machine.name, attempt.created_at);
    machine.note_image_use(job.spec.image, job.spec.image_gb, now);
    if (job.spec.shape == job_shape::array && !job.is_closed()) {
        seconds run_time = attempt.observed_run_time(now);
        if (run_time > seconds{})
            measure_run_time(machine, job, run_time);
        mark_task_done(job, attempt.task.index, now);
    }
    failures_.on_attempt_completed(job);
}

void task_reconciler::measure_run_time(workers::machine &machine, catalog::job &job,
                                       seconds run_time) {
    seconds normalized = run_time * std::max(machine.speed, constants::min_speed);
    // Compared with other tasks of the same job, since the error of an estimate is common to a job.
    if (job.run_time_count >= speed_reference_tasks) {
        seconds mean = job.run_time_sum / job.run_time_count;
        double sample = std::clamp(mean / run_time, min_speed_sample, max_speed_sample);
        machine.speed = (1 - constants::speed_sample_weight) * machine.speed +
                        constants::speed_sample_weight * sample;
        ++machine.speed_samples;
    }
    job.run_time_sum += normalized;
    ++job.run_time_count;
    state_.estimates().add_measurement(job.spec.job_class, job.spec.estimate, normalized);
}

void task_reconciler::mark_task_done(catalog::job &job, std::uint32_t index, time_point now) {
    if (job.is_closed() || job.done[index])
        return;
    remove_from_waiting(job, index);
    job.done[index] = true;
    ++job.reported_done_count;
    on_done_(job, index, now);
}

void task_reconciler::adopt(workers::machine &machine, catalog::job &job, const task_status &status,
                            time_point now) {
    remove_from_waiting(job, status.index);
    catalog::attempt adopted;
    adopted.task = {status.job, status.index};
    adopted.number = status.attempt;
    adopted.machine = machine.name;
    adopted.phase = phase_of(status.state);
    adopted.created_at = now;
    adopted.running_since = now;
    adopted.expected_run_time = state_.expected_run_time(job);
    auto &stored = state_.add_attempt(job, std::move(adopted));
    state_.request_stop(stored, seconds{});
    spdlog::info("machine {}: unknown task {}/{} adopted as attempt {}, stop requested",
                 machine.name, status.job, status.index, status.attempt);
}

void task_reconciler::remove_from_waiting(catalog::job &job, std::uint32_t index) {
    state_.remove_from_queue(job, index);
    job.requeued.erase(index);
    // Tasks with a lower index that were never placed stay waiting.
    for (; job.next_unplaced <= index; ++job.next_unplaced) {
        auto skipped = job.next_unplaced;
        if (skipped != index && !job.done[skipped] && !job.current_attempts.contains(skipped) &&
            !job.queued_on.contains(skipped))
            job.requeued.insert(skipped);
    }
}

} // namespace spindlecroft::reconciliation
