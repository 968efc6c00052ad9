// Controllers as processes, one of which ends while copies of its direct commands are under way.
#include "process_cluster.hpp"
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace spindlecroft::test;

// Guards against a task that runs twice: the copy of an answered command reaches its worker after
// the attempt that it started has ended, its task has moved and the leader has been killed, and
// before the worker has seen the next leader's token.
TEST(controller_processes, a_copy_of_an_answered_command_starts_no_task_anew) {
    process_cluster cluster("late-command");
    for (std::size_t node = 0; node < 3; ++node)
        cluster.start(node, version::present);
    ASSERT_TRUE(cluster.ready());
    directly_commanded_worker first(cluster, "i-000001"), second(cluster, "i-000002");
    ASSERT_TRUE(cluster.until([&] { return first.report(); }));
    ASSERT_EQ(cluster.submit(0, submission("job-1")), 201);
    // Without a heartbeat of the worker the start can only be a direct command.
    ASSERT_TRUE(cluster.until([&] { return first.runs("job-1"); }, 10s));
    auto command = first.command_that_started("job-1/0");
    ASSERT_FALSE(command.empty());
    first.finish("job-1", "error");
    ASSERT_TRUE(cluster.until([&] {
        first.report();
        second.report();
        return second.runs("job-1");
    }));
    ASSERT_FALSE(first.runs("job-1"));

    cluster.kill(first.node);
    EXPECT_EQ(first.repeat(command), 200) << "no higher token was seen yet";
    EXPECT_FALSE(first.runs("job-1")) << "the task runs on both workers";

    ASSERT_TRUE(cluster.until([&] {
        second.report();
        return first.report();
    }));
    EXPECT_TRUE(cluster.until([&] { return first.report() && first.tasks.empty(); }))
        << "the next leader removes the record of the ended attempt";
    EXPECT_EQ(first.repeat(command), 409);
    EXPECT_TRUE(second.runs("job-1"));
}
