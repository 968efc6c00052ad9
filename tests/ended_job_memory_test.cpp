// What a node keeps at hand of jobs that are not active.
#include "catalog/ended_job_memory.hpp"
#include <gtest/gtest.h>

using namespace spindlecroft;

TEST(ended_job_memory, keeps_the_first_record_and_drops_the_oldest_job) {
    catalog::ended_job_cache memory(2);
    memory.add("job-1", {job_state::done, 1, {}});
    memory.add("job-1", {job_state::cancelled, 0, {}});
    ASSERT_TRUE(memory.find("job-1"));
    EXPECT_EQ(memory.find("job-1")->state, job_state::done);
    memory.add("job-2", {job_state::done, 1, {}});
    memory.add("job-3", {job_state::done, 1, {}});
    EXPECT_FALSE(memory.find("job-1"));
    EXPECT_TRUE(memory.find("job-2"));
    EXPECT_TRUE(memory.find("job-3"));
}

TEST(absent_job_memory, forgets_what_was_submitted_and_the_oldest) {
    catalog::absent_job_cache memory(2);
    memory.add("job-1");
    memory.add("job-2");
    memory.remove("job-2");
    EXPECT_TRUE(memory.contains("job-1"));
    EXPECT_FALSE(memory.contains("job-2"));
    memory.add("job-3");
    EXPECT_FALSE(memory.contains("job-1"));
    EXPECT_TRUE(memory.contains("job-3"));
    memory.clear();
    EXPECT_FALSE(memory.contains("job-3"));
}
