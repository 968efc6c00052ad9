// Runs the randomized simulation with fixed seeds: every rule holds, and all work is finished.
#include "randomized_simulation.hpp"
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace std::chrono_literals;
using test::simulation;

class random_world : public testing::TestWithParam<unsigned> {};

TEST_P(random_world, keeps_every_rule_and_finishes) {
    simulation w(GetParam());
    w.run(900s);
    EXPECT_TRUE(w.violations.empty())
        << w.violations.size() << " broken, first: " << w.violations.front();
    EXPECT_GT(w.starts, 50);
    EXPECT_GT(w.leaders, 1);
    EXPECT_GT(w.copies, 10);
    EXPECT_GT(w.late_writes, 0);
    EXPECT_GT(w.chained, 5);
    // One wave of all tasks, then a trickle; a leader that ends before its record of them is
    // written costs another wave.
    EXPECT_FALSE(w.vain_starts.empty());
    for (auto &[id, count] : w.vain_starts)
        EXPECT_LE(count, 60) << id;
    // Forgotten: whatever was accepted is known for ever, as active or as ended.
    for (auto &[id, s] : w.submitted)
        EXPECT_TRUE(w.jobs.count(id) || w.ended.count(id)) << id;
    std::vector<std::string> unfinished;
    for (auto &[id, r] : w.jobs)
        if (r.job.cancelled || r.job.spec.shape == job_shape::array)
            unfinished.push_back(id);
    EXPECT_TRUE(unfinished.empty()) << "unfinished: " << w.describe(unfinished.front());
}

INSTANTIATE_TEST_SUITE_P(seeds, random_world, testing::Range(1u, 31u));

// The worlds above do exercise chains: a single one may hold none that starts or is cancelled.
TEST(random_worlds, start_and_cancel_dependents) {
    int starts = 0, cancelled = 0;
    for (unsigned seed = 1; seed <= 10; ++seed) {
        simulation w(seed);
        w.run(900s);
        starts += w.chained_starts;
        cancelled += w.cancelled_with;
    }
    EXPECT_GE(starts, 50);
    EXPECT_GE(cancelled, 30);
}
