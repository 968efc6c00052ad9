// Runs controllers of the production version and of the present version as processes of one
// cluster, so that each reads the other's records. Guards against upgrades and downgrades that lose
// jobs, start tasks twice or undo confirmed cancels. Workers, users and the key-value store are
// simulated by this process.
#include "process_cluster.hpp"
#include <gtest/gtest.h>
#include <set>

using namespace spindlecroft;
using namespace spindlecroft::test;

namespace {

// Users and a worker that remain active while controllers are replaced. Records what the
// controllers confirmed to the users.
struct upgrade_scenario {
    explicit upgrade_scenario(const std::string &name) : cluster(name), worker(cluster) {}
    process_cluster cluster;
    reporting_worker worker;
    int submitted = 0;
    std::set<std::string> accepted, cancelled, done;
    std::vector<std::string> violations;

    std::string submit() {
        auto id = fmt::format("job-{}", ++submitted);
        for (std::size_t node = 0; node < 3; ++node) {
            auto status = cluster.submit(node, submission(id, 0.1));
            if (status == 201 || status == 200) {
                accepted.insert(id);
                return id;
            }
        }
        return "";
    }

    void cancel(const std::string &id) {
        for (std::size_t node = 0; node < 3; ++node)
            if (cluster.cancel(node, id) == "200 aborted") {
                cancelled.insert(id);
                return;
            }
    }

    // Checks that the state of a job at every node agrees with what was confirmed to users.
    void check_state(const std::string &id) {
        for (std::size_t node = 0; node < 3; ++node) {
            auto state = cluster.poll(node, id);
            if (!state.starts_with("200"))
                continue;
            if (cancelled.count(id) && state != "200 aborted")
                violations.push_back(
                    fmt::format("{} was confirmed as cancelled, but its state is {}", id, state));
            if (done.count(id) && state != "200 done")
                violations.push_back(
                    fmt::format("{} was reported as done, but its state is {}", id, state));
            if (!cancelled.count(id) && state == "200 aborted")
                violations.push_back(id + " is cancelled without a request");
            if (state == "200 done")
                done.insert(id);
        }
    }

    // Checks the state of every accepted job; no node may answer 404 for one.
    void check_accepted_jobs() {
        for (auto &id : accepted) {
            for (std::size_t node = 0; node < 3; ++node)
                if (cluster.poll(node, id) == "404")
                    violations.push_back(id + " was accepted but is not found");
            check_state(id);
        }
    }

    void step() {
        worker.report();
        cluster.run(50ms);
    }

    bool until(const std::function<bool()> &condition, seconds time_limit = 40s) {
        auto limit = net::steady_now() + time_limit;
        while (!condition() && net::steady_now() < limit)
            step();
        return condition();
    }

    bool wait_for_leader() {
        auto seen = worker.answers;
        return until([&] { return worker.answers > seen; });
    }

    // Submits three jobs: one runs to its end, one is cancelled, one keeps running.
    void run_workload() {
        ASSERT_TRUE(wait_for_leader());
        auto first = submit(), second = submit(), third = submit();
        ASSERT_FALSE(first.empty() || second.empty() || third.empty());
        ASSERT_TRUE(until([&] { return worker.runs(first) && worker.runs(second); }));
        worker.finish(first);
        cancel(second);
        EXPECT_TRUE(until([&] { return !worker.runs(second); }));
        EXPECT_TRUE(until([&] {
            check_state(first);
            return done.count(first) > 0;
        }));
        check_state(second);
        check_state(third);
    }

    void expect_confirmed_states_kept() {
        check_accepted_jobs();
        EXPECT_TRUE(violations.empty())
            << violations.size() << " violations, first: " << violations.front();
        EXPECT_TRUE(worker.started_twice.empty()) << worker.started_twice.front();
        for (auto &id : accepted) {
            if (cancelled.count(id) || done.count(id))
                continue;
            EXPECT_TRUE(until([&] { return worker.runs(id); })) << id;
        }
    }
};

} // namespace

TEST(upgrade, controllers_are_replaced_one_by_one_under_load) {
    upgrade_scenario scenario("replaced");
    for (std::size_t node = 0; node < 3; ++node)
        scenario.cluster.start(node, version::production);
    ASSERT_TRUE(scenario.cluster.ready());
    scenario.run_workload();
    for (std::size_t node = 0; node < 3; ++node) {
        scenario.cluster.replace(node, version::present);
        if (node == 0) // a controller that is not yet upgraded restarts
            scenario.cluster.replace(2, version::production);
        scenario.run_workload();
        ASSERT_TRUE(scenario.cluster.ready());
    }
    scenario.expect_confirmed_states_kept();
    // With every controller upgraded, a job with predecessors is accepted.
    auto last = scenario.submit();
    auto list = "[\"" + last + "\"]";
    ASSERT_EQ(scenario.cluster.submit(0, submission("job-900", 0.1, "blue", list)), 201);
    ASSERT_TRUE(scenario.until([&] { return scenario.worker.runs(last); }));
    EXPECT_FALSE(scenario.worker.runs("job-900"));
    scenario.worker.finish(last);
    EXPECT_TRUE(scenario.until([&] { return scenario.worker.runs("job-900"); }));
}

// Leadership passes from the production to the present version and back while tasks run.
TEST(upgrade, leadership_passes_in_both_directions) {
    upgrade_scenario scenario("directions");
    std::array<version, 3> runs{version::production, version::present, version::production};
    for (std::size_t node = 0; node < 3; ++node)
        scenario.cluster.start(node, runs[node]);
    ASSERT_TRUE(scenario.cluster.ready());
    int old_to_new = 0, new_to_old = 0;
    for (int change = 0; change < 12 && (old_to_new < 2 || new_to_old < 1); ++change) {
        scenario.run_workload();
        auto former = scenario.worker.node;
        scenario.cluster.kill(former);
        ASSERT_TRUE(scenario.until(
            [&] { return scenario.worker.node != former && scenario.worker.report(); }));
        auto next = scenario.worker.node;
        old_to_new += runs[former] == version::production && runs[next] == version::present;
        new_to_old += runs[former] == version::present && runs[next] == version::production;
        // Every third restart changes the version, so that leadership passes between both versions.
        if (change % 3 == 2)
            runs[former] =
                runs[former] == version::present ? version::production : version::present;
        scenario.cluster.start(former, runs[former]);
        ASSERT_TRUE(scenario.cluster.ready());
    }
    EXPECT_GE(old_to_new, 1);
    EXPECT_GE(new_to_old, 1);
    scenario.expect_confirmed_states_kept();
}

// Guards against a job that starts before its predecessors are done: the production version must
// neither start a job with predecessors nor change its record.
TEST(upgrade, production_version_does_not_start_jobs_with_predecessors) {
    upgrade_scenario scenario("left_alone");
    wire::job_record record;
    record.accepted_at = wall_at(1);
    record.spec = small_job("job-800");
    record.spec.cpus = 0.1;
    record.spec.predecessors = {"job-1"};
    scenario.cluster.state.put("j/a/job-800", json::parse(wire::encode_job_record(record)), 0);
    ++scenario.cluster.state.ledger;
    for (std::size_t node = 0; node < 3; ++node)
        scenario.cluster.start(node, version::production);
    ASSERT_TRUE(scenario.cluster.ready());
    ASSERT_TRUE(scenario.wait_for_leader());
    ASSERT_EQ(scenario.submit(), "job-1");
    ASSERT_TRUE(scenario.until([&] { return scenario.worker.runs("job-1"); }));
    auto end = net::steady_now() + 3s;
    scenario.until([&] { return net::steady_now() > end; });
    EXPECT_FALSE(scenario.worker.runs("job-800"));
    EXPECT_EQ(scenario.cluster.state.keys.count("j/a/job-800"), 1u);
    for (std::size_t node = 0; node < 3; ++node)
        scenario.cluster.replace(node, version::present);
    ASSERT_TRUE(scenario.cluster.ready());
    ASSERT_TRUE(scenario.wait_for_leader());
    EXPECT_EQ(scenario.cluster.poll(0, "job-800"), "200 pending");
    EXPECT_FALSE(scenario.worker.runs("job-800"));
    scenario.worker.finish("job-1");
    EXPECT_TRUE(scenario.until([&] { return scenario.worker.runs("job-800"); }));
}
