// Tests of the parts of worker reconciliation in isolation: attempt liveness, heartbeats, commands,
// outbound partitions, leases and failures.
#include "constants.hpp"
#include "reconciliation/command_composer.hpp"
#include "reconciliation/failure_review.hpp"
#include "reconciliation/heartbeat_reconciler.hpp"
#include "reconciliation/lease_monitor.hpp"
#include "reconciliation/lease_time.hpp"
#include "test_time.hpp"
#include "workers/attempt_liveness.hpp"
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace std::chrono_literals;
using catalog::attempt_phase;
using reconciliation::heartbeat_freshness;
using reconciliation::heartbeat_origin;
using reconciliation::start_permission;
using test::at;
using workers::attempt_liveness;
using workers::evidence;

namespace {

constexpr std::uint64_t current_token = 7;
constexpr std::uint64_t earlier_token = 6;

// An attempt and its machine, which has sent heartbeat 5 of incarnation 1 with the current token.
class attempt_liveness_test : public testing::Test {
  protected:
    attempt_liveness_test() {
        machine.is_type_known = true;
        machine.incarnation = 1;
        machine.sequence = 5;
        machine.token = current_token;
        attempt.phase = attempt_phase::sent;
        attempt.sent_incarnation = 1;
        attempt.sent_sequence = 4;
    }
    attempt_liveness assess(evidence seen) const {
        return workers::assess_attempt(attempt, machine, {seen, current_token, at(100)});
    }
    workers::machine machine;
    catalog::attempt attempt;
};

// A cluster with one job of two tasks and the machine i-1.
class reconciliation_test : public testing::Test {
  protected:
    reconciliation_test() {
        settings.heartbeat_interval = 5s;
        settings.lease_duration = 20s;
        settings.cancel_deadline = 30s;
        state.begin_term({current_token, current_token, at(0), {}});
        catalog::job job;
        job.spec.id = "job-1";
        job.spec.shape = job_shape::array;
        job.spec.tasks = 2;
        job.spec.cpus = 1;
        job.spec.memory_gb = 1;
        job.done.assign(2, false);
        job.done_durable.assign(2, false);
        state.add_job("job-1", std::move(job));
    }
    static machine_type type() {
        machine_type type;
        type.name = "small";
        type.cpus = 4;
        type.memory_gb = 16;
        type.zones = {"a"};
        return type;
    }
    heartbeat make_heartbeat(std::uint64_t sequence, std::vector<task_status> tasks = {}) const {
        heartbeat message;
        message.machine = "i-1";
        message.type = "small";
        message.zone = "a";
        message.incarnation = 1;
        message.sequence = sequence;
        message.token = current_token;
        message.tasks = std::move(tasks);
        return message;
    }
    heartbeat_freshness receive(const heartbeat &received, time_point now,
                                heartbeat_origin origin = heartbeat_origin::unsolicited) {
        return heartbeats.reconcile(received, origin, now);
    }
    // Places task 0 on the machine, durably and without sending its start.
    catalog::attempt &place_task() {
        catalog::attempt placed;
        placed.task = {"job-1", 0};
        placed.number = 11;
        placed.machine = "i-1";
        placed.phase = attempt_phase::committed;
        job().next_unplaced = 1;
        return state.add_attempt(job(), placed);
    }
    catalog::job &job() { return *state.find_job("job-1"); }
    workers::machine &machine() { return *state.find_machine("i-1"); }
    static task_status listed(task_state state_listed, exit_cause cause = exit_cause::none) {
        return {"job-1", 0, 11, state_listed, cause, false};
    }

    settings::settings settings;
    model::cluster_state state{settings, {type()}};
    std::vector<std::uint32_t> completed_tasks;
    reconciliation::failure_review failures{state};
    reconciliation::heartbeat_reconciler heartbeats{
        state, settings, failures, [this](catalog::job &, std::uint32_t index, time_point) {
            completed_tasks.push_back(index);
        }};
    reconciliation::command_composer commands{state};
    reconciliation::lease_monitor leases{state, settings};
};

} // namespace

// --- attempt liveness ---

TEST_F(attempt_liveness_test, start_in_a_dropped_answer_may_be_sent_again) {
    EXPECT_EQ(assess(evidence::missing_from_heartbeat), attempt_liveness::start_dropped);
}

TEST_F(attempt_liveness_test, dropped_start_that_is_no_longer_wanted_is_gone) {
    attempt.stop_requested = true;
    EXPECT_EQ(assess(evidence::missing_from_heartbeat), attempt_liveness::gone);
    attempt.stop_requested = false;
    machine.is_deleting = true;
    EXPECT_EQ(assess(evidence::missing_from_heartbeat), attempt_liveness::gone);
}

TEST_F(attempt_liveness_test, start_in_the_answer_to_the_newest_heartbeat_may_still_arrive) {
    attempt.sent_sequence = machine.sequence;
    EXPECT_EQ(assess(evidence::missing_from_heartbeat), attempt_liveness::possibly_live);
}

TEST_F(attempt_liveness_test,
       missing_attempt_is_possibly_live_while_a_direct_command_is_unacknowledged) {
    for (auto phase : {attempt_phase::sent, attempt_phase::fetching, attempt_phase::running,
                       attempt_phase::checkpointing}) {
        attempt.phase = phase;
        machine.open_direct_commands = 1;
        EXPECT_EQ(assess(evidence::missing_from_heartbeat), attempt_liveness::possibly_live);
        machine.open_direct_commands = 0;
        machine.unresolved_token = current_token;
        machine.unresolved_incarnation = 1;
        EXPECT_EQ(assess(evidence::missing_from_heartbeat), attempt_liveness::possibly_live);
        machine.token = current_token + 1;
        EXPECT_NE(assess(evidence::missing_from_heartbeat), attempt_liveness::possibly_live);
        machine.token = current_token;
        machine.unresolved_token = machine.unresolved_incarnation = 0;
    }
}

TEST_F(attempt_liveness_test, missing_attempt_is_possibly_live_while_an_answer_is_in_flight) {
    attempt.phase = attempt_phase::running;
    machine.answer_incarnation = 1;
    machine.answer_expires_at = at(101);
    EXPECT_EQ(assess(evidence::missing_from_heartbeat), attempt_liveness::possibly_live);
    machine.answer_expires_at = at(100);
    EXPECT_EQ(assess(evidence::missing_from_heartbeat), attempt_liveness::gone);
}

TEST_F(attempt_liveness_test, start_of_an_earlier_leader_is_gone_once_the_current_token_was_seen) {
    attempt.inherited = true;
    machine.token = earlier_token;
    EXPECT_EQ(assess(evidence::missing_from_heartbeat), attempt_liveness::possibly_live);
    machine.token = current_token;
    EXPECT_EQ(assess(evidence::missing_from_heartbeat), attempt_liveness::gone);
}

TEST_F(attempt_liveness_test,
       new_incarnation_proves_all_attempts_gone_except_those_of_an_earlier_leader) {
    machine.open_direct_commands = 1;
    EXPECT_EQ(assess(evidence::new_incarnation), attempt_liveness::gone);
    attempt.inherited = true;
    EXPECT_EQ(assess(evidence::new_incarnation), attempt_liveness::possibly_live);
}

TEST_F(attempt_liveness_test, expired_lease_proves_sent_attempts_gone) {
    machine.open_direct_commands = 1;
    EXPECT_EQ(assess(evidence::lease_expired), attempt_liveness::gone);
    attempt.inherited = true;
    EXPECT_EQ(assess(evidence::lease_expired), attempt_liveness::gone);
    attempt.phase = attempt_phase::committed;
    EXPECT_EQ(assess(evidence::lease_expired), attempt_liveness::possibly_live);
}

TEST_F(attempt_liveness_test, removed_machine_proves_all_attempts_gone_except_results) {
    EXPECT_EQ(assess(evidence::machine_removed), attempt_liveness::gone);
    attempt.phase = attempt_phase::committing;
    EXPECT_EQ(assess(evidence::machine_removed), attempt_liveness::gone);
    attempt.phase = attempt_phase::exited;
    attempt.cause = exit_cause::error;
    EXPECT_EQ(assess(evidence::machine_removed), attempt_liveness::gone);
    attempt.cause = exit_cause::done;
    EXPECT_EQ(assess(evidence::machine_removed), attempt_liveness::possibly_live);
    EXPECT_EQ(assess(evidence::missing_from_heartbeat), attempt_liveness::possibly_live);
}

// --- heartbeats ---

TEST_F(reconciliation_test, late_copy_is_stale_and_earlier_incarnation_is_obsolete) {
    auto first = make_heartbeat(2);
    first.incarnation = 3;
    EXPECT_EQ(receive(first, at(1)), heartbeat_freshness::fresh);
    EXPECT_EQ(receive(first, at(2)), heartbeat_freshness::stale);
    auto earlier = make_heartbeat(9);
    earlier.incarnation = 2;
    EXPECT_EQ(receive(earlier, at(3)), heartbeat_freshness::obsolete);
    EXPECT_EQ(machine().last_message_at, at(1));
    state.remove_machine("i-1", at(4));
    EXPECT_EQ(receive(first, at(5)), heartbeat_freshness::obsolete);
}

TEST_F(reconciliation_test, missing_task_is_kept_while_a_direct_command_is_unacknowledged) {
    receive(make_heartbeat(1), at(1));
    place_task();
    auto sent = commands.for_direct_command("i-1", start_permission::granted, at(2));
    ASSERT_EQ(sent.size(), 1u);
    EXPECT_EQ(sent[0].kind, command_kind::start);
    receive(make_heartbeat(2), at(3));
    EXPECT_EQ(job().current_attempts.at(0).phase, attempt_phase::sent);
    commands.mark_unresolved("i-1", current_token, 1);
    receive(make_heartbeat(3), at(4));
    EXPECT_EQ(job().current_attempts.at(0).phase, attempt_phase::sent);
    // Once the agent has seen a higher token, it refuses the command.
    state.raise_token(current_token + 1);
    auto raised = make_heartbeat(4);
    raised.token = current_token + 1;
    receive(raised, at(5));
    EXPECT_EQ(job().current_attempts.at(0).phase, attempt_phase::committed);
}

TEST_F(reconciliation_test, unresolved_direct_command_requests_a_token_raise) {
    receive(make_heartbeat(1), at(1));
    commands.begin_term(at(1));
    place_task();
    ASSERT_EQ(commands.for_direct_command("i-1", start_permission::granted, at(2)).size(), 1u);
    auto later = at(2) + 2 * constants::min_token_raise_interval;
    EXPECT_FALSE(commands.take_token_raise_request(later));
    commands.mark_unresolved("i-1", current_token, 1);
    EXPECT_FALSE(commands.take_token_raise_request(at(2)));
    EXPECT_TRUE(commands.take_token_raise_request(later));
    EXPECT_FALSE(commands.take_token_raise_request(later)) << "already requested";
}

// Guards against a task that runs twice: a copy of an answered direct command would start an
// attempt anew whose record was removed under the token of that command.
TEST_F(reconciliation_test, record_of_a_directly_started_attempt_is_kept_until_a_higher_token) {
    receive(make_heartbeat(1), at(1));
    place_task();
    ASSERT_EQ(commands.for_direct_command("i-1", start_permission::granted, at(2)).size(), 1u);
    commands.mark_resolved("i-1");
    auto exited = listed(task_state::exited, exit_cause::stopped);
    receive(make_heartbeat(2, {exited}), at(2), heartbeat_origin::command_reply);
    receive(make_heartbeat(3, {exited}), at(3));
    EXPECT_FALSE(job().current_attempts.contains(0)) << "the attempt itself is over";
    EXPECT_TRUE(commands.for_answer("i-1", start_permission::granted, at(3)).empty());
    EXPECT_TRUE(commands.for_direct_command("i-1", start_permission::granted, at(3)).empty());
    state.raise_token(current_token + 1);
    auto answer = commands.for_answer("i-1", start_permission::granted, at(4));
    ASSERT_EQ(answer.size(), 1u);
    EXPECT_EQ(answer[0].kind, command_kind::remove);
    EXPECT_EQ(answer[0].attempt, exited.attempt);
}

TEST_F(reconciliation_test, record_of_an_attempt_started_by_an_answer_is_removed_at_once) {
    receive(make_heartbeat(1), at(1));
    place_task();
    ASSERT_EQ(commands.for_answer("i-1", start_permission::granted, at(1)).size(), 1u);
    receive(make_heartbeat(2, {listed(task_state::exited, exit_cause::stopped)}), at(2));
    auto answer = commands.for_answer("i-1", start_permission::granted, at(2));
    ASSERT_EQ(answer.size(), 1u);
    EXPECT_EQ(answer[0].kind, command_kind::remove);
}

TEST_F(reconciliation_test, new_incarnation_ends_the_wait_for_a_higher_token) {
    receive(make_heartbeat(1), at(1));
    place_task();
    ASSERT_EQ(commands.for_direct_command("i-1", start_permission::granted, at(2)).size(), 1u);
    commands.mark_resolved("i-1");
    auto restarted = make_heartbeat(2, {listed(task_state::exited, exit_cause::stopped)});
    restarted.incarnation = 2;
    receive(restarted, at(3));
    EXPECT_EQ(commands.for_answer("i-1", start_permission::granted, at(3)).size(), 1u);
}

TEST_F(reconciliation_test, record_awaiting_removal_requests_a_token_raise) {
    receive(make_heartbeat(1), at(1));
    commands.begin_term(at(1));
    place_task();
    ASSERT_EQ(commands.for_direct_command("i-1", start_permission::granted, at(2)).size(), 1u);
    commands.mark_resolved("i-1");
    auto due = at(2) + constants::min_token_raise_interval;
    EXPECT_FALSE(commands.take_token_raise_request(due)) << "the attempt has not ended";
    receive(make_heartbeat(2, {listed(task_state::exited, exit_cause::stopped)}), at(3));
    EXPECT_FALSE(commands.take_token_raise_request(at(4)));
    EXPECT_TRUE(commands.take_token_raise_request(due));
    state.raise_token(current_token + 1);
    EXPECT_FALSE(commands.take_token_raise_request(due + constants::max_record_removal_interval))
        << "the record may be removed already";
}

// Every raise makes each machine of the fleet send a heartbeat, but records that are kept too long
// would let the heartbeats of a machine with many short tasks grow without bound.
TEST_F(reconciliation_test,
       large_fleet_raises_the_token_rarely_unless_a_machine_keeps_many_records) {
    for (int number = 0; number < 1000; ++number)
        state.find_or_add_machine("other-" + std::to_string(number), at(1));
    receive(make_heartbeat(1), at(1));
    commands.begin_term(at(1));
    std::vector<task_status> exited;
    for (std::size_t count = 0; count <= constants::max_records_awaiting_removal; ++count) {
        auto status = listed(task_state::exited, exit_cause::stopped);
        status.attempt = 100 + count;
        machine().directly_started.insert(status.attempt);
        exited.push_back(status);
    }
    auto early = at(2) + constants::min_token_raise_interval;
    receive(make_heartbeat(2, {exited.begin(), exited.end() - 1}), at(2));
    EXPECT_FALSE(commands.take_token_raise_request(early));
    receive(make_heartbeat(3, exited), at(3));
    EXPECT_TRUE(commands.take_token_raise_request(early));
    receive(make_heartbeat(4, {exited.front()}), at(4));
    auto late = early + constants::max_record_removal_interval + 1s;
    EXPECT_FALSE(commands.take_token_raise_request(late - 2s));
    EXPECT_TRUE(commands.take_token_raise_request(late));
}

// Records of exited tasks must not cost a machine its lease while cancels may be unknown.
TEST_F(reconciliation_test, machine_with_records_of_exited_tasks_only_has_no_tasks) {
    auto exited = make_heartbeat(1, {listed(task_state::exited, exit_cause::stopped)});
    receive(exited, at(1));
    EXPECT_TRUE(heartbeats.has_no_tasks(exited));
    place_task().phase = attempt_phase::sent;
    EXPECT_FALSE(heartbeats.has_no_tasks(exited)) << "a start is on its way";
}

TEST_F(reconciliation_test, unknown_running_task_is_adopted_and_stopped) {
    receive(make_heartbeat(1, {listed(task_state::running)}), at(1));
    ASSERT_TRUE(job().current_attempts.contains(0));
    EXPECT_TRUE(job().current_attempts.at(0).stop_requested);
    auto answer = commands.for_answer("i-1", start_permission::granted, at(1));
    ASSERT_EQ(answer.size(), 1u);
    EXPECT_EQ(answer[0].kind, command_kind::stop);
    EXPECT_FALSE(heartbeats.has_no_tasks(make_heartbeat(2)));
}

TEST_F(reconciliation_test, completion_is_reported_once_regardless_of_the_attempt) {
    auto completed = listed(task_state::exited, exit_cause::done);
    receive(make_heartbeat(1, {completed}), at(1));
    receive(make_heartbeat(2, {completed}), at(2));
    EXPECT_EQ(completed_tasks, std::vector<std::uint32_t>{0});
    EXPECT_TRUE(machine().cleanup_commands.empty())
        << "the agent keeps it until the completion is durable";
    job().done_durable[0] = true;
    receive(make_heartbeat(3, {completed}), at(3));
    ASSERT_EQ(machine().cleanup_commands.size(), 1u);
    EXPECT_EQ(machine().cleanup_commands[0].kind, command_kind::remove);
}

// --- outbound partitions ---

TEST_F(reconciliation_test, machine_that_ignores_announced_tokens_gets_no_more_work) {
    auto outdated = make_heartbeat(1);
    outdated.token = earlier_token;
    time_point now = at(1);
    receive(outdated, now);
    heartbeats.note_answer("i-1", heartbeat_freshness::fresh, now);
    for (int missed = 0; missed < constants::outbound_partition_heartbeats; ++missed) {
        EXPECT_FALSE(machine().outbound_partition_since) << "after " << missed;
        ++outdated.sequence;
        now += 2 * settings.heartbeat_interval + constants::worker_answer_timeout;
        receive(outdated, now);
    }
    EXPECT_TRUE(machine().outbound_partition_since);
    EXPECT_FALSE(machine().is_usable());
    auto acknowledging = make_heartbeat(9);
    receive(acknowledging, now + 1s);
    EXPECT_FALSE(machine().outbound_partition_since);
}

// Guards against a partition mark that outlasts its cause. An incarnation that outlasts a lease has
// received an answer.
TEST_F(reconciliation_test, partition_mark_is_cleared_when_the_incarnation_outlasts_a_lease) {
    receive(make_heartbeat(1), at(1));
    machine().outbound_partition_since = at(2);
    auto outlasted = at(1) + settings.lease_duration;
    receive(make_heartbeat(2), outlasted);
    EXPECT_TRUE(machine().outbound_partition_since);
    receive(make_heartbeat(3), outlasted + 5 * settings.heartbeat_interval);
    EXPECT_FALSE(machine().outbound_partition_since);
}

TEST_F(reconciliation_test, answer_to_a_late_copy_announces_no_token) {
    auto outdated = make_heartbeat(1);
    outdated.token = earlier_token;
    receive(outdated, at(1));
    heartbeats.note_answer("i-1", heartbeat_freshness::stale, at(2));
    EXPECT_FALSE(machine().announced_at);
    EXPECT_EQ(machine().latest_lease_end, reconciliation::latest_lease_end(settings, at(2)));
}

// --- leases and failures ---

TEST_F(reconciliation_test, sent_attempt_is_released_after_the_lease_and_not_before) {
    receive(make_heartbeat(1), at(1));
    place_task().phase = attempt_phase::running;
    auto end = machine().latest_lease_end;
    leases.release_expired(end);
    EXPECT_TRUE(job().current_attempts.contains(0));
    leases.release_expired(end + 1ms);
    EXPECT_FALSE(job().current_attempts.contains(0));
    EXPECT_TRUE(job().requeued.contains(0));
}

TEST_F(reconciliation_test,
       cancelled_task_is_stopped_by_direct_command_and_then_by_deleting_its_machine) {
    receive(make_heartbeat(1), at(1));
    place_task().phase = attempt_phase::running;
    job().cancelled = true;
    job().cancelled_at = at(1);
    leases.enforce_cancellations(at(1) + settings.heartbeat_interval);
    EXPECT_EQ(state.take_direct_command_targets(), std::vector<std::string>{"i-1"});
    EXPECT_FALSE(machine().is_deleting);
    leases.enforce_cancellations(at(1) + settings.cancel_deadline);
    EXPECT_TRUE(machine().is_deleting);
}

TEST_F(reconciliation_test, machine_on_which_a_working_job_fails_is_quarantined) {
    receive(make_heartbeat(1), at(1));
    job().reported_done_count = 1;
    place_task();
    receive(make_heartbeat(2, {listed(task_state::exited, exit_cause::error)}), at(2));
    EXPECT_TRUE(machine().is_quarantined);
    EXPECT_FALSE(job().current_attempts.contains(0));
}

TEST_F(reconciliation_test, suspect_job_is_retried_one_task_at_a_time) {
    EXPECT_TRUE(failures.may_retry(job(), at(1)));
    failures.restore_suspects({"job-1", "unknown"}, at(1));
    auto retry_at = state.failures().retry_at("job-1");
    EXPECT_TRUE(failures.may_retry(job(), retry_at));
    receive(make_heartbeat(1), at(1));
    place_task();
    EXPECT_FALSE(failures.may_retry(job(), retry_at));
}
