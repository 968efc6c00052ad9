// Estimates of run time and the bids that machines are compared by.
#include "builders.hpp"
#include "control/scheduler.hpp"
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace std::chrono_literals;

TEST(bids, are_queue_plus_fetch_plus_run) {
    auto s = test::small_job("job-1");
    bidding::resources whole{4, 0, 16}, full{0, 0, 0}, twice{8, 0, 32};
    // At half speed, with 0.5 GB/s for an image of 1 GB.
    auto bid = [&](const bidding::resources &free, const bidding::resources &all, seconds work,
                   bool image) {
        return bidding::make_bid(0.5, 0.5, s, free, all, work, 0s, 30s, image, 0);
    };
    EXPECT_DOUBLE_EQ(bid(whole, whole, 0s, false).finish_time().count(), 1 / 0.5 + 30 / 0.5);
    EXPECT_DOUBLE_EQ(bid(whole, whole, 0s, true).fetch_time.count(), 0);
    EXPECT_DOUBLE_EQ(bid(full, whole, 40s, false).queue_time.count(), 40);
    EXPECT_DOUBLE_EQ(bid(full, twice, 40s, false).queue_time.count(), 20);
}

TEST(bids, estimates_learn_a_class) {
    bidding::run_time_estimator e;
    auto s = test::small_job("job-1");
    for (int k = 0; k < 60; ++k)
        e.add_measurement("batch", 30s, 15s);
    EXPECT_NEAR(e.expected_run_time(s).count(), 15, 1);
}
