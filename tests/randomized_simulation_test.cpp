// Runs the randomized simulation with fixed seeds: no invariant may be violated, and once the
// faults have stopped all jobs must end. Guards against scheduling faults that need a rare
// combination of message loss, delays, machine failures and leader changes.
#include "randomized_simulation.hpp"
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace std::chrono_literals;
using test::simulation;

class randomized_simulation : public testing::TestWithParam<unsigned> {};

TEST_P(randomized_simulation, violates_no_invariant_and_finishes_all_jobs) {
    simulation sim(GetParam());
    sim.run(900s);
    EXPECT_TRUE(sim.violations.empty())
        << sim.violations.size() << " violations, first: " << sim.violations.front();
    EXPECT_GT(sim.starts, 50);
    EXPECT_GT(sim.leaders, 1);
    EXPECT_GT(sim.duplicate_heartbeats, 10);
    EXPECT_GT(sim.command_copies, 5);
    EXPECT_GT(sim.delayed_writes, 0);
    EXPECT_GT(sim.jobs_with_predecessors, 5);
    // Jobs that always fail start all their tasks once and are then retried at a low rate. A leader
    // that is replaced before it has recorded the failures allows all tasks one more start.
    EXPECT_FALSE(sim.starts_of_failing_jobs.empty());
    for (auto &[id, count] : sim.starts_of_failing_jobs)
        EXPECT_LE(count, 60) << id;
    // No accepted job is lost: each has an active or an ended record.
    for (auto &[id, spec] : sim.submitted)
        EXPECT_TRUE(sim.jobs.count(id) || sim.ended.count(id)) << id;
    std::vector<std::string> unfinished;
    for (auto &[id, record] : sim.jobs)
        if (record.job.cancelled || record.job.spec.shape == job_shape::array)
            unfinished.push_back(id);
    EXPECT_TRUE(unfinished.empty()) << "unfinished: " << sim.describe(unfinished.front());
}

INSTANTIATE_TEST_SUITE_P(seeds, randomized_simulation, testing::Range(1u, 31u));

// Checks that the simulation exercises dependencies. The sum over ten seeds is checked because a
// single run may start or cancel no dependent.
TEST(randomized_simulation_coverage, starts_and_cancels_dependents) {
    int starts = 0, cancelled = 0;
    for (unsigned seed = 1; seed <= 10; ++seed) {
        simulation sim(seed);
        sim.run(900s);
        starts += sim.dependent_start_checks;
        cancelled += sim.cancelled_dependents;
    }
    EXPECT_GE(starts, 50);
    EXPECT_GE(cancelled, 30);
}
