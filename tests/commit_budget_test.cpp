// Order of writes to the key-value store: the token bucket, the queue of waiting writes and the
// selection of units for a transaction.
#include "store/committer.hpp"
#include "test_time.hpp"
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace std::chrono_literals;
using test::at;

TEST(token_bucket, keeps_a_reserve_for_more_urgent_requests) {
    store::token_bucket bucket(10);
    time_point now{};
    int background = 0, user_requests = 0;
    while (bucket.try_take(1, store::request_priority::background, now))
        ++background;
    while (bucket.try_take(1, store::request_priority::user_request, now))
        ++user_requests;
    EXPECT_LT(background, 8);
    EXPECT_GT(user_requests, 0);
    EXPECT_FALSE(bucket.try_take(1, store::request_priority::user_request, now));
    EXPECT_TRUE(bucket.try_take(1, store::request_priority::user_request, now + 1s));
}

// Guards against starvation of large transactions: single submissions arrived as fast as the bucket
// refilled, and a less urgent transaction of eight writes never found its whole size available, so
// no task was started for a minute.
TEST(token_bucket, does_not_starve_large_transactions) {
    store::token_bucket bucket(14);
    int large = 0;
    double taken = 0;
    for (int ms = 0; ms < 60'000; ms += 20) {
        auto now = at(ms / 1000.0);
        if (ms % 80 == 0 && bucket.try_take(1, store::request_priority::user_request, now))
            taken += 1;
        if (bucket.try_take(8, store::request_priority::placement, now)) {
            taken += 8;
            ++large;
        }
    }
    EXPECT_GT(large, 3);
    EXPECT_LT(taken, 14 * 61 + 8) << "the rate holds in the long run";
}

// Guards against starvation of rentals: at the start of a large simulation submissions filled the
// queue for half a minute, and no machine was rented meanwhile.
TEST(write_queue, urgent_writes_do_not_overtake_one_that_waited_long) {
    store::write_queue queue;
    auto rental_request = queue.enter(at(10.0)), submission = queue.enter(at(10.2));
    EXPECT_TRUE(queue.may_proceed(submission, store::request_priority::user_request, at(10.3)));
    EXPECT_FALSE(queue.may_proceed(submission, store::request_priority::user_request, at(10.5)));
    EXPECT_TRUE(queue.may_proceed(submission, store::request_priority::cancel, at(10.5)))
        << "a cancel doesn't wait for others";
    EXPECT_TRUE(queue.may_proceed(rental_request, store::request_priority::placement, at(10.5)));
    EXPECT_EQ(
        queue.effective_priority(rental_request, store::request_priority::placement, at(10.3)),
        store::request_priority::placement);
    EXPECT_EQ(
        queue.effective_priority(rental_request, store::request_priority::placement, at(10.5)),
        store::request_priority::cancel);
    queue.leave(rental_request);
    EXPECT_TRUE(queue.may_proceed(submission, store::request_priority::user_request, at(10.5)));
}

TEST(group_commit, leaves_out_background_units) {
    std::deque<store::write_unit> waiting(2);
    waiting[0].priority = store::request_priority::background;
    waiting[0].ops = {{"a", "", 0}};
    waiting[1].priority = store::request_priority::placement;
    waiting[1].ops = {{"b", "1", 0}};
    EXPECT_EQ(store::choose_units(waiting, 8, 10000), (std::vector<std::size_t>{1}));
    waiting.pop_back();
    EXPECT_EQ(store::choose_units(waiting, 8, 10000), (std::vector<std::size_t>{0}));
}

TEST(group_commit, respects_limits_and_priorities_and_separates_units_with_a_common_key) {
    std::deque<store::write_unit> waiting;
    auto add = [&](store::request_priority priority, const std::vector<std::string> &keys) {
        store::write_unit unit;
        unit.priority = priority;
        for (auto &key : keys)
            unit.ops.push_back({key, "1", 0});
        waiting.push_back(std::move(unit));
    };
    add(store::request_priority::background, {"a", "b"});
    add(store::request_priority::cancel, {"c"});
    add(store::request_priority::job_end, {"c"});
    add(store::request_priority::job_end, {"d", "e"});
    auto chosen = store::choose_units(waiting, 4, 10000);
    EXPECT_EQ(chosen, (std::vector<std::size_t>{1, 3}))
        << "no two units with key c; a and b do not fit";
}
