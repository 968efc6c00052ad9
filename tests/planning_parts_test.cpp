// Tests each part of planning by itself on a small cluster.
#include "builders.hpp"
#include "constants.hpp"
#include "planning/bid_round.hpp"
#include "planning/bidder_table.hpp"
#include "planning/placement_rules.hpp"
#include "planning/preemption.hpp"
#include "planning/queue_starter.hpp"
#include "planning/quota_accounting.hpp"
#include "planning/service_order.hpp"
#include "test_time.hpp"
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace std::chrono_literals;
using test::at;

namespace {

constexpr auto now = at(100);

settings::settings three_teams() {
    auto settings = test::small_settings();
    settings.teams = {{"red", 8, 0, 0, 0}, {"blue", 0, 0, 0, 0}, {"green", 8, 0, 0, 0}};
    return settings;
}

// The state and the planning parts of a cluster whose machines are up.
struct planning_cluster {
    settings::settings settings = three_teams();
    model::cluster_state state{settings, test::small_types()};
    planning::quota_accounting quota{settings, state};
    planning::bidder_table bidders{settings, state};
    planning::preemption preemption{state, quota, bidders};

    workers::machine &add_machine(const std::string &name, const std::string &zone = "a",
                                  const std::string &type = "large") {
        auto &machine = state.find_or_add_machine(name, at(0));
        state.update_description(machine, type, zone, false, "10.0.0.1:9000");
        machine.is_up = true;
        return machine;
    }
    catalog::job &add_job(job_spec spec) {
        catalog::job job;
        job.done.assign(spec.tasks, false);
        job.own_priority = spec.priority;
        job.spec = std::move(spec);
        auto id = job.spec.id;
        return state.add_job(id, std::move(job));
    }
    catalog::job &add_job(const std::string &id, const std::string &team, std::uint32_t tasks) {
        auto spec = test::small_job(id);
        spec.team = team;
        spec.tasks = tasks;
        return add_job(spec);
    }
    catalog::attempt &run_next_task(catalog::job &job, const std::string &machine,
                                    time_point created_at = at(10)) {
        catalog::attempt attempt;
        EXPECT_TRUE(job.pop_waiting_task(attempt.task.index));
        attempt.task.job = job.spec.id;
        attempt.machine = machine;
        attempt.phase = catalog::attempt_phase::running;
        attempt.created_at = created_at;
        attempt.expected_run_time = job.spec.estimate;
        return state.add_attempt(job, attempt);
    }
    planning::bid_round begin_round() {
        quota.begin_round();
        preemption.begin_round();
        return {state, bidders.eligible_bidders(now)};
    }
};

struct placement_rules : testing::Test {
    planning_cluster cluster;
    // Returns the zones of the allowed classes, in the order of the classes.
    std::vector<std::string> zones_for(const catalog::job &job) const {
        auto allowed = planning::allowed_classes_for(cluster.state, job);
        std::vector<std::string> zones;
        for (std::size_t i = 0; i < allowed.size(); ++i)
            if (allowed[i])
                zones.push_back(cluster.state.machine_classes()[i].zone);
        return zones;
    }
    void SetUp() override {
        cluster.add_machine("i-1", "a");
        cluster.add_machine("i-2", "b");
    }
};
using zones = std::vector<std::string>;

struct bid_rounds : testing::Test {
    planning_cluster cluster;
};
struct preemption_for_guarantees : testing::Test {
    planning_cluster cluster;
};
struct service_order : testing::Test {
    planning_cluster cluster;
};
struct queue_starts : testing::Test {
    planning_cluster cluster;
    std::vector<catalog::task_ref> created;
    planning::queue_starter starter{
        cluster.state, cluster.preemption,
        [this](const catalog::task_ref &task, job_shape) { created.push_back(task); }};
};

} // namespace

TEST_F(placement_rules, a_job_without_rules_may_run_in_any_zone) {
    EXPECT_EQ(zones_for(cluster.add_job("job-1", "blue", 2)), (zones{"a", "b"}));
}

TEST_F(placement_rules, a_job_may_require_a_zone_and_machine_types) {
    auto spec = test::small_job("job-1");
    spec.zone = "b";
    EXPECT_EQ(zones_for(cluster.add_job(spec)), zones{"b"});
    spec.machine_types = {"small"};
    EXPECT_EQ(zones_for(cluster.add_job(spec)), zones{});
}

TEST_F(placement_rules, same_zone_tasks_run_in_the_zone_of_the_first) {
    auto spec = test::small_job("job-1");
    spec.tasks = 3;
    spec.same_zone = true;
    auto &job = cluster.add_job(spec);
    EXPECT_EQ(zones_for(job), (zones{"a", "b"}));
    cluster.run_next_task(job, "i-2");
    EXPECT_EQ(zones_for(job), zones{"b"});
}

TEST_F(placement_rules, at_most_half_of_a_spread_job_runs_in_one_zone) {
    auto spec = test::small_job("job-1");
    spec.tasks = 2;
    spec.spread_across_zones = true;
    auto &job = cluster.add_job(spec);
    job.queued_on[1] = "i-1";
    EXPECT_EQ(zones_for(job), zones{"b"});
}

TEST_F(placement_rules, a_task_in_an_unknown_zone_counts_against_every_zone) {
    auto spec = test::small_job("job-1");
    spec.tasks = 2;
    spec.spread_across_zones = true;
    auto &job = cluster.add_job(spec);
    job.queued_on[1] = "i-gone";
    EXPECT_EQ(zones_for(job), zones{});
}

TEST_F(bid_rounds, the_first_of_equal_bids_wins) {
    cluster.add_machine("i-2");
    cluster.add_machine("i-1");
    auto round = cluster.begin_round();
    auto best = round.best_bid(cluster.add_job("job-1", "blue", 2), now);
    ASSERT_TRUE(best);
    EXPECT_EQ(best->bidder->machine->name, "i-1");
}

TEST_F(bid_rounds, the_lowest_bid_wins) {
    cluster.add_machine("i-1");
    cluster.add_machine("i-2").note_image_use("img", 1, at(50));
    auto round = cluster.begin_round();
    auto best = round.best_bid(cluster.add_job("job-1", "blue", 1), now);
    ASSERT_TRUE(best);
    EXPECT_EQ(best->bidder->machine->name, "i-2") << "the image is cached there";
    EXPECT_EQ(best->finish_time, 30s);
}

TEST_F(bid_rounds, a_queued_task_raises_the_next_bid_of_its_machine) {
    cluster.add_machine("i-1", "a", "small");
    cluster.add_machine("i-2", "a", "small");
    auto &job = cluster.add_job("job-1", "blue", 2);
    auto round = cluster.begin_round();
    auto first = round.best_bid(job, now);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->bidder->machine->name, "i-1");
    round.task_queued(*first->bidder, job, 30s);
    auto second = round.best_bid(job, now);
    ASSERT_TRUE(second);
    EXPECT_EQ(second->bidder->machine->name, "i-2");
}

TEST_F(bid_rounds, bidders_of_removed_machines_are_removed) {
    cluster.add_machine("i-1");
    cluster.add_machine("i-2");
    EXPECT_EQ(cluster.bidders.eligible_bidders(now).size(), 2u);
    cluster.state.remove_machine("i-1", now);
    EXPECT_EQ(cluster.bidders.eligible_bidders(now).size(), 1u);
    EXPECT_EQ(cluster.bidders.find("i-1"), nullptr);
    EXPECT_NE(cluster.bidders.find("i-2"), nullptr);
}

TEST_F(bid_rounds, a_machine_that_takes_no_work_keeps_its_bidder) {
    auto &machine = cluster.add_machine("i-1");
    EXPECT_EQ(cluster.bidders.eligible_bidders(now).size(), 1u);
    machine.is_silent = true;
    EXPECT_TRUE(cluster.bidders.eligible_bidders(now).empty());
    EXPECT_NE(cluster.bidders.find("i-1"), nullptr);
}

TEST_F(preemption_for_guarantees, the_latest_task_beyond_its_teams_guarantee_is_preempted) {
    cluster.add_machine("i-1");
    cluster.add_machine("i-2");
    auto &within = cluster.add_job("green-1", "green", 2);
    auto &beyond = cluster.add_job("blue-1", "blue", 2);
    auto &green = cluster.run_next_task(within, "i-1", at(30));
    auto &earlier = cluster.run_next_task(beyond, "i-1", at(10));
    auto &later = cluster.run_next_task(beyond, "i-2", at(20));
    auto &job = cluster.add_job("red-1", "red", 1);
    auto round = cluster.begin_round();
    EXPECT_TRUE(job.guaranteed);
    auto *machine = cluster.preemption.preempt_for_guarantee(job, round.bidders(), now);
    ASSERT_NE(machine, nullptr);
    EXPECT_EQ(machine->machine->name, "i-2");
    EXPECT_TRUE(later.stop_requested);
    EXPECT_FALSE(earlier.stop_requested);
    EXPECT_FALSE(green.stop_requested);
    EXPECT_EQ(cluster.preemption.preempted_tasks(), 1u);
}

TEST_F(preemption_for_guarantees, tasks_within_their_teams_guarantee_are_not_preempted) {
    cluster.add_machine("i-1");
    auto &within = cluster.add_job("green-1", "green", 2);
    cluster.run_next_task(within, "i-1");
    cluster.run_next_task(within, "i-1");
    auto &job = cluster.add_job("red-1", "red", 1);
    auto round = cluster.begin_round();
    EXPECT_EQ(cluster.preemption.preempt_for_guarantee(job, round.bidders(), now), nullptr);
    EXPECT_EQ(cluster.preemption.preempted_tasks(), 0u);
}

// Tasks that are being stopped must not count as usage beyond the guarantee. Otherwise a team loses
// more than it uses beyond its guarantee.
TEST_F(preemption_for_guarantees, no_more_is_preempted_than_exceeds_the_guarantee) {
    cluster.add_machine("i-1");
    auto &beyond = cluster.add_job("green-1", "green", 3);
    for (int i = 0; i < 3; ++i)
        cluster.run_next_task(beyond, "i-1");
    auto &job = cluster.add_job("red-1", "red", 2);
    auto round = cluster.begin_round();
    EXPECT_NE(cluster.preemption.preempt_for_guarantee(job, round.bidders(), now), nullptr);
    EXPECT_EQ(cluster.preemption.preempt_for_guarantee(job, round.bidders(), now), nullptr);
    EXPECT_EQ(cluster.preemption.preempted_tasks(), 1u);
}

TEST_F(preemption_for_guarantees, a_job_that_exceeds_its_teams_guarantee_is_not_covered) {
    auto &fits = cluster.add_job("red-1", "red", 2);
    auto &exceeds = cluster.add_job("red-2", "red", 1);
    exceeds.ready_at = at(1);
    cluster.quota.begin_round();
    EXPECT_TRUE(fits.guaranteed);
    EXPECT_FALSE(exceeds.guaranteed);
}

TEST_F(queue_starts, queued_tasks_start_while_they_fit) {
    auto &machine = cluster.add_machine("i-1", "a", "small");
    auto &job = cluster.add_job("job-1", "blue", 2);
    for (std::uint32_t i = 0; i < 2; ++i) {
        std::uint32_t index = 0;
        ASSERT_TRUE(job.pop_waiting_task(index));
        machine.queue.push_back({{"job-1", index}, priority_class::normal, 30s});
        job.queued_on[index] = "i-1";
    }
    starter.start_all(now);
    EXPECT_EQ(created, (std::vector<catalog::task_ref>{{"job-1", 0}}));
    EXPECT_EQ(job.current_attempts.size(), 1u);
    EXPECT_EQ(machine.queue.size(), 1u);
}

TEST_F(queue_starts, a_critical_task_preempts_the_latest_task_and_starts_at_once) {
    auto &machine = cluster.add_machine("i-1", "a", "large");
    auto &lower = cluster.add_job("blue-1", "blue", 4);
    for (int i = 0; i < 4; ++i)
        cluster.run_next_task(lower, "i-1", at(10 + i));
    auto spec = test::small_job("urgent");
    spec.priority = priority_class::critical;
    auto &urgent = cluster.add_job(spec);
    std::uint32_t index = 0;
    ASSERT_TRUE(urgent.pop_waiting_task(index));
    machine.queue.push_back({{"urgent", index}, priority_class::critical, 30s});
    urgent.queued_on[index] = "i-1";
    starter.start_all(now);
    EXPECT_EQ(created, (std::vector<catalog::task_ref>{{"urgent", 0}}));
    EXPECT_FALSE(lower.current_attempts.at(2).stop_requested);
    EXPECT_TRUE(lower.current_attempts.at(3).stop_requested);
    EXPECT_EQ(cluster.preemption.preempted_tasks(), 1u);
}

TEST_F(queue_starts, only_tasks_with_checkpoints_get_a_grace_period) {
    auto spec = test::small_job("job-1");
    spec.checkpoint_duration = 5s;
    EXPECT_EQ(planning::stop_grace(spec), 0s) << "no checkpoint interval";
    spec.checkpoint_interval = 60s;
    EXPECT_EQ(planning::stop_grace(spec), 5s);
}

TEST_F(service_order, deadlines_count_from_submission_and_wait_objectives_from_readiness) {
    auto spec = test::small_job("job-1");
    spec.deadline = 200s;
    cluster.settings.objectives = {{"wait", "batch", 0.9, 0, 10s}};
    auto &job = cluster.add_job(spec);
    job.accepted_at = at(50);
    job.ready_at = at(80);
    auto waiting = planning::make_waiting_job(cluster.settings, cluster.state, job, now);
    EXPECT_EQ(waiting.due_in, (std::vector<seconds>{20s, 150s}));
    EXPECT_EQ(waiting.wait_time, 20s);
    EXPECT_EQ(waiting.remaining_work, 30s);
}
