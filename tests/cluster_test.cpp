// Three controllers in one process on loopback, with a stand-in for the key-value store that can
// refuse one controller or all, and with a worker and users that use the HTTP protocol.
#include "cluster_stand_ins.hpp"
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace spindlecroft::test;

// The key-value store refuses only the leader, another controller confirms a cancellation, then the
// store is down for all controllers. The leader must learn of the cancellation from the other
// controller and end the task, while the worker keeps sending it heartbeats.
TEST(controllers, a_cancel_confirmed_elsewhere_reaches_a_leader_without_the_store) {
    cluster cluster;
    ASSERT_TRUE(cluster.ready());
    reporting_worker worker(cluster);
    ASSERT_TRUE(cluster.until([&] { return worker.report(); }));
    ASSERT_EQ(cluster.submit(0, submission("job-1")), 201);
    ASSERT_TRUE(cluster.until([&] {
        worker.report();
        return worker.runs("job-1");
    }));
    auto leader_node = worker.node, other_node = (worker.node + 1) % 3;
    auto token = worker.warrant;
    cluster.state.refused[leader_node] = true;
    ASSERT_TRUE(
        cluster.until([&] { return cluster.cancel(other_node, "job-1") == "200 aborted"; }, 5s));
    cluster.state.set_outage(true);
    auto confirmed_at = net::steady_now();
    ASSERT_TRUE(cluster.until(
        [&] {
            worker.report();
            return !worker.runs("job-1");
        },
        15s));
    EXPECT_LT(net::steady_now() - confirmed_at, 10s);
    // The store is down: no controller responds from outdated records, and the leader does not step
    // down.
    for (std::size_t node = 0; node < 3; ++node)
        EXPECT_EQ(cluster.poll(node, "job-1"), "503");
    auto until = net::steady_now() + 6s;
    while (net::steady_now() < until) {
        worker.report();
        cluster.run(300ms);
    }
    EXPECT_EQ(worker.node, leader_node);
    EXPECT_EQ(worker.warrant, token);
    cluster.state.refused[leader_node] = false;
    cluster.state.set_outage(false);
    for (std::size_t node = 0; node < 3; ++node)
        EXPECT_TRUE(
            cluster.until([&] { return cluster.poll(node, "job-1") == "200 aborted"; }, 10s))
            << node;
}

// Every controller must give the same response, and never an older one than another gave before.
TEST(controllers, give_consistent_responses) {
    cluster cluster;
    ASSERT_TRUE(cluster.ready());
    ASSERT_EQ(cluster.submit(0, submission("job-1")), 201);
    for (std::size_t node = 0; node < 3; ++node) {
        EXPECT_EQ(cluster.submit(node, submission("job-1")), 200);
        EXPECT_EQ(cluster.poll(node, "job-1"), "200 pending");
        EXPECT_EQ(cluster.poll(node, "job-9"), "404");
        EXPECT_EQ(cluster.poll(node, "nonsense"), "404");
        EXPECT_EQ(cluster.cancel(node, "job-9"), "404");
        EXPECT_EQ(cluster.submit(node, "{}"), 400);
        EXPECT_EQ(cluster.submit(node, "["), 400);
        EXPECT_EQ(cluster.submit(node, submission("job-2", 5)), 422) << "fits no machine";
        EXPECT_EQ(cluster.submit(node, submission("job-3", 4, "nobody")), 422) << "unknown team";
        EXPECT_EQ(cluster.poll(node, "job-2"), "404") << "rejected, so not recorded";
    }
    EXPECT_EQ(cluster.cancel(2, "job-1"), "200 aborted");
    for (std::size_t node = 0; node < 3; ++node) {
        EXPECT_EQ(cluster.poll(node, "job-1"), "200 aborted");
        EXPECT_EQ(cluster.cancel(node, "job-1"), "200 aborted");
        EXPECT_EQ(cluster.submit(node, submission("job-1")), 200);
        EXPECT_EQ(cluster.submit(node, submission("job-1", 5)), 200)
            << "known already, whatever this request contains";
    }
}

// Repeated polls of a job that was never submitted must cost one read of the store only, and give
// the new state at once when it is submitted.
TEST(controllers, read_once_for_a_job_that_was_never_submitted) {
    cluster cluster;
    ASSERT_TRUE(cluster.ready());
    cluster.run(1s); // until the election is over
    ASSERT_EQ(cluster.poll(0, "job-7"), "404");
    auto reads_before = cluster.state.ended_reads;
    for (int repetition = 0; repetition < 5; ++repetition)
        EXPECT_EQ(cluster.poll(0, "job-7"), "404");
    EXPECT_EQ(cluster.state.ended_reads, reads_before);
    ASSERT_EQ(cluster.submit(1, submission("job-7")), 201);
    EXPECT_EQ(cluster.poll(0, "job-7"), "200 pending");
    EXPECT_EQ(cluster.cancel(2, "job-7"), "200 aborted");
    EXPECT_EQ(cluster.poll(0, "job-7"), "200 aborted");
    EXPECT_EQ(cluster.poll(0, "job-8"), "404");
}

// While the machine types are unknown it can't be decided whether a job can run; a malformed
// submission is rejected as malformed all the same.
TEST(controllers, decide_no_submission_before_the_machine_types_are_known) {
    cluster cluster(false);
    cluster.run(1s);
    for (std::size_t node = 0; node < 3; ++node) {
        EXPECT_EQ(cluster.submit(node, "{}"), 400);
        EXPECT_EQ(cluster.submit(node, submission("job-1")), 503);
        EXPECT_EQ(cluster.submit(node, submission("job-2", 5)), 503);
        EXPECT_EQ(cluster.call(node, "GET", "/ready", "").status, 503);
    }
}
