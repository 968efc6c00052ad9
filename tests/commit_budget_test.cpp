// Order of writes to the key-value store: the request budget, the line of waiting writes and the
// choice of units for one transaction.
#include "store/committer.hpp"
#include "test_time.hpp"
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace std::chrono_literals;
using test::at;

TEST(budget, leaves_a_reserve_to_the_more_urgent) {
    store::token_bucket b(10);
    time_point now{};
    int rest = 0, accept = 0;
    while (b.try_take(1, store::request_priority::background, now))
        ++rest;
    while (b.try_take(1, store::request_priority::user_request, now))
        ++accept;
    EXPECT_LT(rest, 8);
    EXPECT_GT(accept, 0);
    EXPECT_FALSE(b.try_take(1, store::request_priority::user_request, now));
    EXPECT_TRUE(b.try_take(1, store::request_priority::user_request, now + 1s));
}

// Single submissions came as fast as the budget refilled, and a transaction of eight changes, less
// urgent, never found its whole size at once: no task was started for a minute.
TEST(budget, starves_no_large_transaction) {
    store::token_bucket b(14);
    int large = 0;
    double taken = 0;
    for (int ms = 0; ms < 60'000; ms += 20) {
        auto now = at(ms / 1000.0);
        if (ms % 80 == 0 && b.try_take(1, store::request_priority::user_request, now))
            taken += 1;
        if (b.try_take(8, store::request_priority::placement, now)) {
            taken += 8;
            ++large;
        }
    }
    EXPECT_GT(large, 3);
    EXPECT_LT(taken, 14 * 61 + 8) << "the rate holds in the long run";
}

// At the start of a large day submissions filled the line for half a minute, and no machine was
// rented meanwhile.
TEST(budget, the_more_urgent_do_not_pass_who_waited_long) {
    store::write_queue line;
    auto rental_request = line.enter(at(10.0)), submission = line.enter(at(10.2));
    EXPECT_TRUE(line.may_proceed(submission, store::request_priority::user_request, at(10.3)));
    EXPECT_FALSE(line.may_proceed(submission, store::request_priority::user_request, at(10.5)));
    EXPECT_TRUE(line.may_proceed(submission, store::request_priority::cancel, at(10.5)))
        << "a cancel waits for none";
    EXPECT_TRUE(line.may_proceed(rental_request, store::request_priority::placement, at(10.5)));
    EXPECT_EQ(line.effective_priority(rental_request, store::request_priority::placement, at(10.3)),
              store::request_priority::placement);
    EXPECT_EQ(line.effective_priority(rental_request, store::request_priority::placement, at(10.5)),
              store::request_priority::cancel);
    line.leave(rental_request);
    EXPECT_TRUE(line.may_proceed(submission, store::request_priority::user_request, at(10.5)));
}

TEST(group_commit, leaves_out_what_nobody_waits_for) {
    std::deque<store::write_unit> waiting(2);
    waiting[0].priority = store::request_priority::background;
    waiting[0].ops = {{"a", "", 0}};
    waiting[1].priority = store::request_priority::placement;
    waiting[1].ops = {{"b", "1", 0}};
    EXPECT_EQ(store::choose_units(waiting, 8, 10000), (std::vector<std::size_t>{1}));
    waiting.pop_back();
    EXPECT_EQ(store::choose_units(waiting, 8, 10000), (std::vector<std::size_t>{0}));
}

TEST(group_commit, keeps_limits_order_of_urgency_and_apart_what_touches_one_key) {
    std::deque<store::write_unit> waiting;
    auto add = [&](store::request_priority u, const std::vector<std::string> &keys) {
        store::write_unit x;
        x.priority = u;
        for (auto &k : keys)
            x.ops.push_back({k, "1", 0});
        waiting.push_back(std::move(x));
    };
    add(store::request_priority::background, {"a", "b"});
    add(store::request_priority::cancel, {"c"});
    add(store::request_priority::job_end, {"c"});
    add(store::request_priority::job_end, {"d", "e"});
    auto chosen = store::choose_units(waiting, 4, 10000);
    EXPECT_EQ(chosen, (std::vector<std::size_t>{1, 3})) << "c twice never; a and b do not fit";
}
