// The parts of worker reconciliation alone: proofs that an attempt is gone, heartbeats, commands,
// leases and failures.
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

constexpr std::uint64_t present_token = 7;
constexpr std::uint64_t earlier_token = 6;

// An attempt and its machine, which has sent heartbeat (1, 5) under the present token.
class proven_gone : public testing::Test {
  protected:
    proven_gone() {
        machine.is_type_known = true;
        machine.incarnation = 1;
        machine.sequence = 5;
        machine.token = present_token;
        attempt.phase = attempt_phase::sent;
        attempt.sent_incarnation = 1;
        attempt.sent_sequence = 4;
    }
    attempt_liveness assessed(evidence seen) const {
        return workers::assess_attempt(attempt, machine, {seen, present_token, at(100)});
    }
    workers::machine machine;
    catalog::attempt attempt;
};

// A cluster with one job of two tasks and the machine i-1.
class reconciliation_parts : public testing::Test {
  protected:
    reconciliation_parts() {
        settings.heartbeat_interval = 5s;
        settings.lease_duration = 20s;
        settings.cancel_deadline = 30s;
        state.begin_term({present_token, present_token, at(0), {}});
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
    heartbeat heartbeat_of(std::uint64_t sequence, std::vector<task_status> tasks = {}) const {
        heartbeat made;
        made.machine = "i-1";
        made.type = "small";
        made.zone = "a";
        made.incarnation = 1;
        made.sequence = sequence;
        made.token = present_token;
        made.tasks = std::move(tasks);
        return made;
    }
    heartbeat_freshness receive(const heartbeat &received, time_point now,
                                heartbeat_origin origin = heartbeat_origin::unsolicited) {
        return heartbeats.reconcile(received, origin, now);
    }
    // Task 0 is placed on the machine, durably; its start was not sent.
    catalog::attempt &place() {
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
    static task_status listed(task_state as, exit_cause cause = exit_cause::none) {
        return {"job-1", 0, 11, as, cause, false};
    }

    settings::settings settings;
    model::cluster_state state{settings, {type()}};
    std::vector<std::uint32_t> done;
    reconciliation::failure_review failures{state};
    reconciliation::heartbeat_reconciler heartbeats{
        state, settings, failures,
        [this](catalog::job &, std::uint32_t index, time_point) { done.push_back(index); }};
    reconciliation::command_composer commands{state};
    reconciliation::lease_monitor leases{state, settings};
};

} // namespace

// --- proofs ---

TEST_F(proven_gone, a_start_whose_answer_was_dropped_is_sent_again) {
    EXPECT_EQ(assessed(evidence::missing_from_heartbeat), attempt_liveness::start_dropped);
}

TEST_F(proven_gone, a_dropped_start_that_nobody_wants_any_more_is_gone) {
    attempt.stop_requested = true;
    EXPECT_EQ(assessed(evidence::missing_from_heartbeat), attempt_liveness::gone);
    attempt.stop_requested = false;
    machine.is_deleting = true;
    EXPECT_EQ(assessed(evidence::missing_from_heartbeat), attempt_liveness::gone);
}

TEST_F(proven_gone, a_start_in_the_answer_to_the_newest_heartbeat_may_still_arrive) {
    attempt.sent_sequence = machine.sequence;
    EXPECT_EQ(assessed(evidence::missing_from_heartbeat), attempt_liveness::possibly_live);
}

TEST_F(proven_gone, an_unacknowledged_command_keeps_what_is_missing) {
    for (auto phase : {attempt_phase::sent, attempt_phase::fetching, attempt_phase::running,
                       attempt_phase::checkpointing}) {
        attempt.phase = phase;
        machine.open_direct_commands = 1;
        EXPECT_EQ(assessed(evidence::missing_from_heartbeat), attempt_liveness::possibly_live);
        machine.open_direct_commands = 0;
        machine.unresolved_token = present_token;
        machine.unresolved_incarnation = 1;
        EXPECT_EQ(assessed(evidence::missing_from_heartbeat), attempt_liveness::possibly_live);
        machine.token = present_token + 1;
        EXPECT_NE(assessed(evidence::missing_from_heartbeat), attempt_liveness::possibly_live);
        machine.token = present_token;
        machine.unresolved_token = machine.unresolved_incarnation = 0;
    }
}

TEST_F(proven_gone, an_answer_on_its_way_keeps_what_is_missing) {
    attempt.phase = attempt_phase::running;
    machine.answer_incarnation = 1;
    machine.answer_expires_at = at(101);
    EXPECT_EQ(assessed(evidence::missing_from_heartbeat), attempt_liveness::possibly_live);
    machine.answer_expires_at = at(100);
    EXPECT_EQ(assessed(evidence::missing_from_heartbeat), attempt_liveness::gone);
}

TEST_F(proven_gone, an_earlier_leaders_start_ends_with_the_present_token) {
    attempt.inherited = true;
    machine.token = earlier_token;
    EXPECT_EQ(assessed(evidence::missing_from_heartbeat), attempt_liveness::possibly_live);
    machine.token = present_token;
    EXPECT_EQ(assessed(evidence::missing_from_heartbeat), attempt_liveness::gone);
}

TEST_F(proven_gone, a_new_incarnation_ends_all_but_an_earlier_leaders_start) {
    machine.open_direct_commands = 1;
    EXPECT_EQ(assessed(evidence::new_incarnation), attempt_liveness::gone);
    attempt.inherited = true;
    EXPECT_EQ(assessed(evidence::new_incarnation), attempt_liveness::possibly_live);
}

TEST_F(proven_gone, an_expired_lease_ends_what_was_sent) {
    machine.open_direct_commands = 1;
    EXPECT_EQ(assessed(evidence::lease_expired), attempt_liveness::gone);
    attempt.inherited = true;
    EXPECT_EQ(assessed(evidence::lease_expired), attempt_liveness::gone);
    attempt.phase = attempt_phase::committed;
    EXPECT_EQ(assessed(evidence::lease_expired), attempt_liveness::possibly_live);
}

TEST_F(proven_gone, a_removed_machine_ends_all_but_results) {
    EXPECT_EQ(assessed(evidence::machine_removed), attempt_liveness::gone);
    attempt.phase = attempt_phase::committing;
    EXPECT_EQ(assessed(evidence::machine_removed), attempt_liveness::gone);
    attempt.phase = attempt_phase::exited;
    attempt.cause = exit_cause::error;
    EXPECT_EQ(assessed(evidence::machine_removed), attempt_liveness::gone);
    attempt.cause = exit_cause::done;
    EXPECT_EQ(assessed(evidence::machine_removed), attempt_liveness::possibly_live);
    EXPECT_EQ(assessed(evidence::missing_from_heartbeat), attempt_liveness::possibly_live);
}

// --- heartbeats ---

TEST_F(reconciliation_parts, a_late_copy_is_stale_and_an_earlier_incarnation_dead) {
    auto first = heartbeat_of(2);
    first.incarnation = 3;
    EXPECT_EQ(receive(first, at(1)), heartbeat_freshness::fresh);
    EXPECT_EQ(receive(first, at(2)), heartbeat_freshness::stale);
    auto earlier = heartbeat_of(9);
    earlier.incarnation = 2;
    EXPECT_EQ(receive(earlier, at(3)), heartbeat_freshness::obsolete);
    EXPECT_EQ(machine().last_message_at, at(1));
    state.remove_machine("i-1", at(4));
    EXPECT_EQ(receive(first, at(5)), heartbeat_freshness::obsolete);
}

TEST_F(reconciliation_parts, an_unacknowledged_direct_command_keeps_a_missing_task) {
    receive(heartbeat_of(1), at(1));
    place();
    auto sent = commands.for_direct_command("i-1", start_permission::granted, at(2));
    ASSERT_EQ(sent.size(), 1u);
    EXPECT_EQ(sent[0].kind, command_kind::start);
    receive(heartbeat_of(2), at(3));
    EXPECT_EQ(job().current_attempts.at(0).phase, attempt_phase::sent);
    commands.mark_unresolved("i-1", present_token, 1);
    receive(heartbeat_of(3), at(4));
    EXPECT_EQ(job().current_attempts.at(0).phase, attempt_phase::sent);
    // Once the worker has seen a higher token, the command can't arrive any more.
    state.raise_token(present_token + 1);
    auto raised = heartbeat_of(4);
    raised.token = present_token + 1;
    receive(raised, at(5));
    EXPECT_EQ(job().current_attempts.at(0).phase, attempt_phase::committed);
}

TEST_F(reconciliation_parts, an_unresolved_direct_command_asks_for_a_higher_token) {
    receive(heartbeat_of(1), at(1));
    commands.begin_term(at(1));
    place();
    ASSERT_EQ(commands.for_direct_command("i-1", start_permission::granted, at(2)).size(), 1u);
    auto later = at(2) + 2 * constants::min_token_raise_interval;
    EXPECT_FALSE(commands.take_token_raise_request(later));
    commands.mark_unresolved("i-1", present_token, 1);
    EXPECT_FALSE(commands.take_token_raise_request(at(2)));
    EXPECT_TRUE(commands.take_token_raise_request(later));
    EXPECT_FALSE(commands.take_token_raise_request(later)) << "asked for already";
}

TEST_F(reconciliation_parts, a_task_that_runs_unknown_is_adopted_and_stopped) {
    receive(heartbeat_of(1, {listed(task_state::running)}), at(1));
    ASSERT_TRUE(job().current_attempts.contains(0));
    EXPECT_TRUE(job().current_attempts.at(0).stop_requested);
    auto answer = commands.for_answer("i-1", start_permission::granted, at(1));
    ASSERT_EQ(answer.size(), 1u);
    EXPECT_EQ(answer[0].kind, command_kind::stop);
    EXPECT_FALSE(heartbeats.has_no_tasks(heartbeat_of(2)));
}

TEST_F(reconciliation_parts, a_completed_task_is_told_once_whoever_started_it) {
    auto completed = listed(task_state::exited, exit_cause::done);
    receive(heartbeat_of(1, {completed}), at(1));
    receive(heartbeat_of(2, {completed}), at(2));
    EXPECT_EQ(done, std::vector<std::uint32_t>{0});
    EXPECT_TRUE(machine().cleanup_commands.empty()) << "the worker keeps it until it is durable";
    job().done_durable[0] = true;
    receive(heartbeat_of(3, {completed}), at(3));
    ASSERT_EQ(machine().cleanup_commands.size(), 1u);
    EXPECT_EQ(machine().cleanup_commands[0].kind, command_kind::remove);
}

// --- outbound partitions ---

TEST_F(reconciliation_parts, a_machine_that_ignores_announced_tokens_gets_no_more_work) {
    auto unaware = heartbeat_of(1);
    unaware.token = earlier_token;
    time_point now = at(1);
    receive(unaware, now);
    heartbeats.note_answer("i-1", heartbeat_freshness::fresh, now);
    for (int ignored = 0; ignored < constants::outbound_partition_heartbeats; ++ignored) {
        EXPECT_FALSE(machine().outbound_partition_since) << "after " << ignored;
        ++unaware.sequence;
        now += 2 * settings.heartbeat_interval + constants::worker_answer_timeout;
        receive(unaware, now);
    }
    EXPECT_TRUE(machine().outbound_partition_since);
    EXPECT_FALSE(machine().is_usable());
    auto aware = heartbeat_of(9);
    receive(aware, now + 1s);
    EXPECT_FALSE(machine().outbound_partition_since);
}

// A mark must not outlive its cause: an incarnation that outlasts a lease was answered.
TEST_F(reconciliation_parts, a_partition_ends_when_the_incarnation_outlasts_a_lease) {
    receive(heartbeat_of(1), at(1));
    machine().outbound_partition_since = at(2);
    auto outlasted = at(1) + settings.lease_duration;
    receive(heartbeat_of(2), outlasted);
    EXPECT_TRUE(machine().outbound_partition_since);
    receive(heartbeat_of(3), outlasted + 5 * settings.heartbeat_interval);
    EXPECT_FALSE(machine().outbound_partition_since);
}

TEST_F(reconciliation_parts, the_answer_to_a_late_copy_announces_nothing) {
    auto unaware = heartbeat_of(1);
    unaware.token = earlier_token;
    receive(unaware, at(1));
    heartbeats.note_answer("i-1", heartbeat_freshness::stale, at(2));
    EXPECT_FALSE(machine().announced_at);
    EXPECT_EQ(machine().latest_lease_end, reconciliation::latest_lease_end(settings, at(2)));
}

// --- leases and failures ---

TEST_F(reconciliation_parts, what_was_sent_is_released_after_the_lease_and_not_before) {
    receive(heartbeat_of(1), at(1));
    place().phase = attempt_phase::running;
    auto end = machine().latest_lease_end;
    leases.release_expired(end);
    EXPECT_TRUE(job().current_attempts.contains(0));
    leases.release_expired(end + 1ms);
    EXPECT_FALSE(job().current_attempts.contains(0));
    EXPECT_TRUE(job().requeued.contains(0));
}

TEST_F(reconciliation_parts, a_cancelled_task_is_pressed_and_then_its_machine_deleted) {
    receive(heartbeat_of(1), at(1));
    place().phase = attempt_phase::running;
    job().cancelled = true;
    job().cancelled_at = at(1);
    leases.enforce_cancellations(at(1) + settings.heartbeat_interval);
    EXPECT_EQ(state.take_direct_command_targets(), std::vector<std::string>{"i-1"});
    EXPECT_FALSE(machine().is_deleting);
    leases.enforce_cancellations(at(1) + settings.cancel_deadline);
    EXPECT_TRUE(machine().is_deleting);
}

TEST_F(reconciliation_parts, a_machine_where_a_working_job_fails_is_quarantined) {
    receive(heartbeat_of(1), at(1));
    job().reported_done_count = 1;
    place();
    receive(heartbeat_of(2, {listed(task_state::exited, exit_cause::error)}), at(2));
    EXPECT_TRUE(machine().is_quarantined);
    EXPECT_FALSE(job().current_attempts.contains(0));
}

TEST_F(reconciliation_parts, a_suspect_job_is_retried_one_task_at_a_time) {
    EXPECT_TRUE(failures.may_retry(job(), at(1)));
    failures.restore_suspects({"job-1", "unknown"}, at(1));
    auto retry_at = state.failures().retry_at("job-1");
    EXPECT_TRUE(failures.may_retry(job(), retry_at));
    receive(heartbeat_of(1), at(1));
    place();
    EXPECT_FALSE(failures.may_retry(job(), retry_at));
}
