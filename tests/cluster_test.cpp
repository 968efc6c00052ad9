// Three controllers in one process, on loopback, against a stand-in of the key-value store that can
// refuse one of them or all, and a worker and users by PROTOCOL.
#include "cluster_stand_ins.hpp"
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace spindlecroft::test;

// The gap, end to end: the key-value store refuses the leader alone, another controller confirms a
// cancel, then the service is gone for all. The worker keeps reporting to the leader.
TEST(controllers, a_cancel_confirmed_elsewhere_reaches_a_blind_leader_by_name) {
    cluster c;
    ASSERT_TRUE(c.ready());
    reporting_worker w(c);
    ASSERT_TRUE(c.until([&] { return w.report(); }));
    ASSERT_EQ(c.submit(0, submission("job-1")), 201);
    ASSERT_TRUE(c.until([&] {
        w.report();
        return w.runs("job-1");
    }));
    auto leader = w.node, other = (w.node + 1) % 3;
    auto token = w.warrant;
    c.state.refused[leader] = true;
    ASSERT_TRUE(c.until([&] { return c.cancel(other, "job-1") == "200 aborted"; }, 5s));
    c.state.set_outage(true);
    auto told = net::steady_now();
    ASSERT_TRUE(c.until(
        [&] {
            w.report();
            return !w.runs("job-1");
        },
        15s));
    EXPECT_LT(net::steady_now() - told, 10s);
    // The service is out: no controller answers from old knowledge, and nobody steps down.
    for (std::size_t i = 0; i < 3; ++i)
        EXPECT_EQ(c.poll(i, "job-1"), "503");
    auto until = net::steady_now() + 6s;
    while (net::steady_now() < until) {
        w.report();
        c.run(300ms);
    }
    EXPECT_EQ(w.node, leader);
    EXPECT_EQ(w.warrant, token);
    c.state.refused[leader] = false;
    c.state.set_outage(false);
    for (std::size_t i = 0; i < 3; ++i)
        EXPECT_TRUE(c.until([&] { return c.poll(i, "job-1") == "200 aborted"; }, 10s)) << i;
}

// Every node gives the same answer, and never an older one.
TEST(controllers, answer_alike) {
    cluster c;
    ASSERT_TRUE(c.ready());
    ASSERT_EQ(c.submit(0, submission("job-1")), 201);
    for (std::size_t i = 0; i < 3; ++i) {
        EXPECT_EQ(c.submit(i, submission("job-1")), 200);
        EXPECT_EQ(c.poll(i, "job-1"), "200 pending");
        EXPECT_EQ(c.poll(i, "job-9"), "404");
        EXPECT_EQ(c.poll(i, "nonsense"), "404");
        EXPECT_EQ(c.cancel(i, "job-9"), "404");
        EXPECT_EQ(c.submit(i, "{}"), 400);
        EXPECT_EQ(c.submit(i, "["), 400);
        EXPECT_EQ(c.submit(i, submission("job-2", 5)), 422) << "fits no machine";
        EXPECT_EQ(c.submit(i, submission("job-3", 4, "nobody")), 422) << "unknown team";
        EXPECT_EQ(c.poll(i, "job-2"), "404") << "refused, so nobody knows it";
    }
    EXPECT_EQ(c.cancel(2, "job-1"), "200 aborted");
    for (std::size_t i = 0; i < 3; ++i) {
        EXPECT_EQ(c.poll(i, "job-1"), "200 aborted");
        EXPECT_EQ(c.cancel(i, "job-1"), "200 aborted");
        EXPECT_EQ(c.submit(i, submission("job-1")), 200);
        EXPECT_EQ(c.submit(i, submission("job-1", 5)), 200)
            << "known already, whatever it says now";
    }
}

// Questions about a job that nobody submitted cost one read, and are answered anew at once when
// somebody does.
TEST(controllers, ask_once_about_a_job_that_nobody_submitted) {
    cluster c;
    ASSERT_TRUE(c.ready());
    c.run(1s); // the election is over
    ASSERT_EQ(c.poll(0, "job-7"), "404");
    auto before = c.state.ended_reads;
    for (int k = 0; k < 5; ++k)
        EXPECT_EQ(c.poll(0, "job-7"), "404");
    EXPECT_EQ(c.state.ended_reads, before);
    ASSERT_EQ(c.submit(1, submission("job-7")), 201);
    EXPECT_EQ(c.poll(0, "job-7"), "200 pending");
    EXPECT_EQ(c.cancel(2, "job-7"), "200 aborted");
    EXPECT_EQ(c.poll(0, "job-7"), "200 aborted");
    EXPECT_EQ(c.poll(0, "job-8"), "404");
}

// While the machine types are unknown nobody can tell whether a job can run; a malformed one is
// malformed all the same.
TEST(controllers, before_the_machine_types_are_known) {
    cluster c(false);
    c.run(1s);
    for (std::size_t i = 0; i < 3; ++i) {
        EXPECT_EQ(c.submit(i, "{}"), 400);
        EXPECT_EQ(c.submit(i, submission("job-1")), 503);
        EXPECT_EQ(c.submit(i, submission("job-2", 5)), 503);
        EXPECT_EQ(c.call(i, "GET", "/ready", "").status, 503);
    }
}
