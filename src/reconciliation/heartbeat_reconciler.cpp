// Application of heartbeats to machines and their attempts.
#include "reconciliation/heartbeat_reconciler.hpp"
#include "constants.hpp"
#include "reconciliation/lease_time.hpp"
#include <algorithm>
#include <set>
#include <vector>

namespace spindlecroft::reconciliation {

heartbeat_freshness heartbeat_reconciler::reconcile(const heartbeat &received,
                                                    heartbeat_origin origin, time_point now) {
    if (state_.was_removed(received.machine))
        return heartbeat_freshness::obsolete;
    auto &machine = state_.find_or_add_machine(received.machine, now);
    state_.update_description(machine, received.type, received.zone, received.spot,
                              received.address);
    if (machine.last_message_at && !received.is_newer_than(machine.incarnation, machine.sequence))
        return received.incarnation == machine.incarnation ? heartbeat_freshness::stale
                                                           : heartbeat_freshness::obsolete;
    bool is_new_incarnation = note_message(machine, received, origin, now);
    auto starts = reconcile_tasks(machine, received, is_new_incarnation, now);
    if (origin == heartbeat_origin::unsolicited)
        partitions_.check_heartbeat(machine, received, is_new_incarnation, starts, now);
    reconcile_reclaim(machine, received, now);
    if (!machine.attempts.empty() || !machine.queue.empty())
        machine.idle_since = now;
    return heartbeat_freshness::fresh;
}

bool heartbeat_reconciler::has_no_tasks(const heartbeat &received) const {
    bool has_exited_only =
        std::all_of(received.tasks.begin(), received.tasks.end(),
                    [](const task_status &status) { return status.state == task_state::exited; });
    if (!has_exited_only)
        return false;
    const auto *machine = state_.find_machine(received.machine);
    if (!machine)
        return true;
    const auto &tasks = machine->attempts;
    return std::none_of(tasks.begin(), tasks.end(), [&](const catalog::task_ref &task) {
        const auto *attempt = state_.find_attempt(task);
        return attempt && attempt->possibly_running();
    });
}

void heartbeat_reconciler::note_answer(const std::string &machine_name,
                                       heartbeat_freshness freshness, time_point now) {
    auto *machine = state_.find_machine(machine_name);
    if (!machine)
        return;
    machine->latest_lease_end =
        std::max(machine->latest_lease_end, latest_lease_end(settings_, now));
    partitions_.note_answer(*machine, freshness, now);
}

bool heartbeat_reconciler::note_message(workers::machine &machine, const heartbeat &received,
                                        heartbeat_origin origin, time_point now) {
    bool is_first = !machine.is_up;
    bool is_new_incarnation = machine.last_message_at && received.incarnation > machine.incarnation;
    bool is_unsolicited = origin == heartbeat_origin::unsolicited;
    // Prevents running a task twice: the reply to a direct command may overtake an answer that
    // carries a start, and then does not list the task that this answer will still start. Only the
    // agent's next unsolicited heartbeat is certain to follow the answer.
    if (is_unsolicited &&
        received.is_newer_than(machine.answer_incarnation, machine.answer_sequence))
        machine.answer_expires_at.reset();
    machine.incarnation = received.incarnation;
    machine.sequence = received.sequence;
    machine.token = received.token;
    machine.last_message_at = now;
    if (is_unsolicited || !machine.last_heartbeat_at)
        machine.last_heartbeat_at = now;
    // Prevents running a task twice: the lease of a new incarnation begins without an answer, and
    // direct commands start tasks in it while its heartbeats go unanswered.
    if (!machine.incarnation_seen_at || is_new_incarnation)
        machine.incarnation_seen_at = now;
    if (is_first || is_new_incarnation)
        machine.latest_lease_end =
            std::max(machine.latest_lease_end, latest_lease_end(settings_, now));
    if (is_first) {
        machine.is_up = true;
        machine.up_at = now;
        machine.idle_since = now;
        state_.request_planning();
    }
    if (is_new_incarnation) {
        machine.idle_since = now;         // it was unreachable, not idle
        machine.directly_started.clear(); // it refuses commands for its previous incarnation
    }
    return is_new_incarnation;
}

start_evidence heartbeat_reconciler::reconcile_tasks(workers::machine &machine,
                                                     const heartbeat &received,
                                                     bool is_new_incarnation, time_point now) {
    machine.cleanup_commands.clear();
    if (!received.tasks.empty() || !machine.attempts.empty())
        machine.mark_changed();
    std::set<catalog::task_ref> listed;
    for (const auto &status : received.tasks) {
        listed.insert({status.job, status.index});
        tasks_.reconcile_listed(machine, status, now);
    }
    std::vector<catalog::task_ref> missing;
    for (const auto &task : machine.attempts)
        if (!listed.contains(task))
            missing.push_back(task);
    auto seen = is_new_incarnation ? workers::evidence::new_incarnation
                                   : workers::evidence::missing_from_heartbeat;
    auto starts = start_evidence::none;
    for (const auto &task : missing) {
        auto *attempt = state_.find_attempt(task);
        if (!attempt) {
            machine.attempts.erase(task);
            continue;
        }
        auto &job = *state_.find_job(task.job);
        auto evidence = tasks_.reconcile_missing(machine, job, *attempt, seen, now);
        if (evidence == start_evidence::not_received)
            starts = evidence;
    }
    return starts;
}

void heartbeat_reconciler::reconcile_reclaim(workers::machine &machine, const heartbeat &received,
                                             time_point now) {
    if (!received.reclaim_notice)
        machine.reclaim_at.reset();
    else if (!machine.reclaim_at)
        begin_reclaim(machine, *received.reclaim_notice, now);
}

void heartbeat_reconciler::begin_reclaim(workers::machine &machine, seconds notice,
                                         time_point now) {
    machine.reclaim_at = now + notice;
    state_.withdraw_unsent_attempts(machine);
    // A task that cannot finish before the reclaim is stopped now, so that it restarts elsewhere
    // sooner.
    state_.for_each_attempt(machine, [&](const catalog::job &job, catalog::attempt &attempt) {
        seconds run_time = attempt.observed_run_time(now);
        seconds remaining = std::max(seconds{}, attempt.expected_run_time - run_time);
        if (attempt.possibly_running() && job.spec.shape == job_shape::array &&
            remaining > notice * constants::reclaim_notice_tolerance)
            state_.request_stop(attempt, std::min(notice, job.spec.checkpoint_duration));
    });
}

} // namespace spindlecroft::reconciliation
