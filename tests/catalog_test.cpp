// Tasks of a job and images kept by a machine.
#include "builders.hpp"
#include "catalog/job.hpp"
#include "test_time.hpp"
#include "workers/machine.hpp"
#include <gtest/gtest.h>

using namespace spindlecroft;
using test::at;

TEST(machines, keep_the_most_recent_images_that_fit) {
    workers::machine m;
    m.type.cache_gb = 10;
    m.note_image_use("a", 4, at(1));
    m.note_image_use("b", 4, at(2));
    m.note_image_use("a", 4, at(3));
    m.note_image_use("c", 4, at(4));
    EXPECT_TRUE(m.image_last_used.count("a"));
    EXPECT_FALSE(m.image_last_used.count("b"));
    EXPECT_TRUE(m.image_last_used.count("c"));
}

TEST(jobs, a_hundred_thousand_tasks_are_ranges) {
    catalog::job j;
    j.spec = test::small_job("job-1");
    j.spec.tasks = 100'000;
    j.done.assign(100'000, false);
    j.done[0] = true;
    EXPECT_EQ(j.waiting_tasks(), 100'000u);
    std::uint32_t i = 0;
    ASSERT_TRUE(j.pop_waiting_task(i));
    EXPECT_EQ(i, 1u);
    j.requeue_task(1);
    EXPECT_EQ(j.requeued.size(), 1u);
    ASSERT_TRUE(j.pop_waiting_task(i));
    EXPECT_EQ(i, 1u);
}
