// The bounded caches of ended and non-existent jobs.
#include "catalog/ended_job_memory.hpp"
#include <gtest/gtest.h>

using namespace spindlecroft;

TEST(ended_job_cache, keeps_the_first_record_and_evicts_the_oldest_job) {
    catalog::ended_job_cache cache(2);
    cache.add("job-1", {job_state::done, 1, {}});
    cache.add("job-1", {job_state::cancelled, 0, {}});
    ASSERT_TRUE(cache.find("job-1"));
    EXPECT_EQ(cache.find("job-1")->state, job_state::done);
    cache.add("job-2", {job_state::done, 1, {}});
    cache.add("job-3", {job_state::done, 1, {}});
    EXPECT_FALSE(cache.find("job-1"));
    EXPECT_TRUE(cache.find("job-2"));
    EXPECT_TRUE(cache.find("job-3"));
}

TEST(absent_job_cache, removes_submitted_jobs_and_evicts_the_oldest) {
    catalog::absent_job_cache cache(2);
    cache.add("job-1");
    cache.add("job-2");
    cache.remove("job-2");
    EXPECT_TRUE(cache.contains("job-1"));
    EXPECT_FALSE(cache.contains("job-2"));
    cache.add("job-3");
    EXPECT_FALSE(cache.contains("job-1"));
    EXPECT_TRUE(cache.contains("job-3"));
    cache.clear();
    EXPECT_FALSE(cache.contains("job-3"));
}
