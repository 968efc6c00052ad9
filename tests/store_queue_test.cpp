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
    std::optional<store::write_queue_place> first(std::in_place, queue, at(10.0));
    store::write_queue_place second(queue, at(10.1));
    EXPECT_FALSE(second.may_go(request_priority::accept, at(10.5)));
    first.reset();
    EXPECT_TRUE(second.may_go(request_priority::accept, at(10.5)));
}

TEST(write_queue, outlives_its_owner_while_a_place_is_held) {
    auto queue = std::make_shared<store::write_queue>();
    std::optional<store::write_queue_place> place(std::in_place, queue, at(10.0));
    std::weak_ptr<store::write_queue> seen = queue;
    queue.reset();
    EXPECT_FALSE(seen.expired());
    EXPECT_EQ(place->priority_of(request_priority::done, at(11.0)), request_priority::cancel);
    place.reset();
    EXPECT_TRUE(seen.expired());
}
