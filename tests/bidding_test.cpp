// Run time estimates and the bids of machines.
#include "builders.hpp"
#include "control/scheduler.hpp"
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace std::chrono_literals;

TEST(bids, finish_time_is_queue_plus_fetch_plus_run_time) {
    auto spec = test::small_job("job-1");
    bidding::resources machine{4, 0, 16}, occupied{0, 0, 0}, double_machine{8, 0, 32};
    // A machine of speed 0.5 that fetches the image of 1 GB at 0.5 GB/s.
    auto bid = [&](const bidding::resources &free, const bidding::resources &capacity,
                   seconds backlog, bool has_image) {
        return bidding::make_bid(0.5, 0.5, spec, free, capacity, backlog, 0s, 30s, has_image, 0);
    };
    EXPECT_DOUBLE_EQ(bid(machine, machine, 0s, false).finish_time().count(), 1 / 0.5 + 30 / 0.5);
    EXPECT_DOUBLE_EQ(bid(machine, machine, 0s, true).fetch_time.count(), 0);
    EXPECT_DOUBLE_EQ(bid(occupied, machine, 40s, false).queue_time.count(), 40);
    EXPECT_DOUBLE_EQ(bid(occupied, double_machine, 40s, false).queue_time.count(), 20);
}

TEST(bids, estimates_adapt_to_the_measurements_of_a_class) {
    bidding::run_time_estimator estimator;
    auto spec = test::small_job("job-1");
    for (int sample = 0; sample < 60; ++sample)
        estimator.add_measurement("batch", 30s, 15s);
    EXPECT_NEAR(estimator.expected_run_time(spec).count(), 15, 1);
}
