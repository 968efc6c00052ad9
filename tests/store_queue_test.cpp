// The place of a write in the queue for the budget.
#include "store/write_queue.hpp"
#include "test_time.hpp"
#include <gtest/gtest.h>
#include <memory>
#include <optional>

using namespace spindlecroft;
using store::request_priority;
using test::at;

TEST(write_queue, a_place_is_left_at_the_end_of_its_life) {
    auto queue = std::make_shared<store::write_queue>();
    std::optional<store::write_queue_entry> first(std::in_place, queue, at(10.0));
    store::write_queue_entry second(queue, at(10.1));
    EXPECT_FALSE(second.may_proceed(request_priority::user_request, at(10.5)));
    first.reset();
    EXPECT_TRUE(second.may_proceed(request_priority::user_request, at(10.5)));
}

TEST(write_queue, outlives_its_owner_while_a_place_is_held) {
    auto queue = std::make_shared<store::write_queue>();
    std::optional<store::write_queue_entry> place(std::in_place, queue, at(10.0));
    std::weak_ptr<store::write_queue> seen = queue;
    queue.reset();
    EXPECT_FALSE(seen.expired());
    EXPECT_EQ(place->effective_priority(request_priority::job_end, at(11.0)),
              request_priority::cancel);
    place.reset();
    EXPECT_TRUE(seen.expired());
}
