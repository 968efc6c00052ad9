// The tasks of a job that wait for a placement, and a machine's image cache.
#include "builders.hpp"
#include "catalog/job.hpp"
#include "test_time.hpp"
#include "workers/machine.hpp"
#include <gtest/gtest.h>

using namespace spindlecroft;
using test::at;

TEST(machines, evict_the_least_recently_used_image) {
    workers::machine machine;
    machine.type.cache_gb = 10;
    machine.note_image_use("a", 4, at(1));
    machine.note_image_use("b", 4, at(2));
    machine.note_image_use("a", 4, at(3));
    machine.note_image_use("c", 4, at(4));
    EXPECT_TRUE(machine.image_last_used.count("a"));
    EXPECT_FALSE(machine.image_last_used.count("b"));
    EXPECT_TRUE(machine.image_last_used.count("c"));
}

TEST(jobs, done_tasks_are_skipped_and_requeued_tasks_come_first) {
    catalog::job job;
    job.spec = test::small_job("job-1");
    job.spec.tasks = 100'000;
    job.done.assign(100'000, false);
    job.done[0] = true;
    EXPECT_EQ(job.waiting_tasks(), 100'000u);
    std::uint32_t index = 0;
    ASSERT_TRUE(job.pop_waiting_task(index));
    EXPECT_EQ(index, 1u);
    job.requeue_task(1);
    EXPECT_EQ(job.requeued.size(), 1u);
    ASSERT_TRUE(job.pop_waiting_task(index));
    EXPECT_EQ(index, 1u);
}
