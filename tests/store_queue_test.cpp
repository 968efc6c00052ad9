// The entry of a write in the queue for the write budget.
#include "store/write_queue.hpp"
#include "test_time.hpp"
#include <gtest/gtest.h>
#include <memory>
#include <optional>

using namespace spindlecroft;
using store::request_priority;
using test::at;

TEST(write_queue, an_entry_leaves_the_queue_on_destruction) {
    auto queue = std::make_shared<store::write_queue>();
    std::optional<store::write_queue_entry> first(std::in_place, queue, at(10.0));
    store::write_queue_entry second(queue, at(10.1));
    EXPECT_FALSE(second.may_proceed(request_priority::user_request, at(10.5)));
    first.reset();
    EXPECT_TRUE(second.may_proceed(request_priority::user_request, at(10.5)));
}

TEST(write_queue, outlives_its_owner_while_an_entry_exists) {
    auto queue = std::make_shared<store::write_queue>();
    std::optional<store::write_queue_entry> entry(std::in_place, queue, at(10.0));
    std::weak_ptr<store::write_queue> observer = queue;
    queue.reset();
    EXPECT_FALSE(observer.expired());
    EXPECT_EQ(entry->effective_priority(request_priority::job_end, at(11.0)),
              request_priority::cancel);
    entry.reset();
    EXPECT_TRUE(observer.expired());
}
