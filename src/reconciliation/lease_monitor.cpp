// Expired leases and overdue cancellations.
#include "reconciliation/lease_monitor.hpp"
#include "constants.hpp"
#include "workers/attempt_liveness.hpp"

namespace spindlecroft::reconciliation {

void lease_monitor::release_expired(time_point now) {
    const workers::observation expired{workers::evidence::lease_expired, state_.term().first_token,
                                       now};
    for (auto &[name, machine] : state_.machines()) {
        if (now <= machine.latest_lease_end || machine.attempts.empty())
            continue;
        auto tasks = machine.attempts; // copied because releasing an attempt modifies the set
        for (const auto &task : tasks) {
            const auto *attempt = state_.find_attempt(task);
            if (attempt &&
                assess_attempt(*attempt, machine, expired) == workers::attempt_liveness::gone)
                state_.release_attempt(*state_.find_job(task.job), task.index, true);
        }
    }
}

void lease_monitor::enforce_cancellations(time_point now) {
    for (const auto &[id, job] : state_.jobs()) {
        if (!job.cancelled || job.current_attempts.empty())
            continue;
        for (const auto &[index, attempt] : job.current_attempts)
            enforce_cancellation(job, attempt, now);
    }
}

void lease_monitor::enforce_cancellation(const catalog::job &job, const catalog::attempt &attempt,
                                         time_point now) {
    auto *machine = state_.find_machine(attempt.machine);
    if (!machine || machine->is_deleting)
        return;
    if (now - job.cancelled_at > constants::cancel_delete_share * settings_.cancel_deadline)
        state_.request_deletion(*machine, "a task of a cancelled job may still be running");
    else if (!machine->last_message_at ||
             now - *machine->last_message_at > settings_.heartbeat_interval / 2)
        state_.mark_for_direct_command(attempt.machine);
}

} // namespace spindlecroft::reconciliation
