// Group commit without input or output: batches, and the transactions built from them.
#include "store/batch.hpp"
#include "store/transaction.hpp"
#include "test_time.hpp"
#include <gtest/gtest.h>

using namespace spindlecroft;
using store::request_priority;
using store::write_outcome;
using test::at;

namespace {

struct unit_outcome {
    std::string key;
    write_outcome outcome;
    std::uint64_t revision;
    bool operator==(const unit_outcome &) const = default;
};

// Creates units that record their outcomes.
struct unit_factory {
    std::vector<unit_outcome> outcomes;

    store::write_unit owned(const std::string &key, request_priority priority) {
        store::write_unit unit;
        unit.owns_keys = true;
        unit.priority = priority;
        unit.ops = {{key, "1", 0}};
        unit.on_outcome = [this, key](write_outcome outcome, std::uint64_t revision) {
            outcomes.push_back({key, outcome, revision});
        };
        return unit;
    }
    store::write_unit conditional(const std::string &key, std::uint64_t revision) {
        auto unit = owned(key, request_priority::user_request);
        unit.owns_keys = false;
        unit.conditions = {{key, revision}};
        return unit;
    }
};

template <class Units>
std::vector<std::string> keys_of(const Units &list) {
    std::vector<std::string> keys;
    keys.reserve(list.size());
    for (auto &unit : list)
        keys.push_back(unit.ops.front().key);
    return keys;
}

using key_list = std::vector<std::string>;

} // namespace

TEST(write_batch, keeps_the_order_of_the_queue) {
    unit_factory make;
    std::deque<store::write_unit> waiting;
    for (auto *key : {"a", "b", "c", "d"})
        waiting.push_back(make.owned(key, request_priority::placement));
    auto batch = store::take_units(waiting, {0, 2});
    EXPECT_EQ(keys_of(batch), (key_list{"a", "c"}));
    EXPECT_EQ(keys_of(waiting), (key_list{"b", "d"}));
}

TEST(write_batch, includes_a_single_unit_that_exceeds_the_limits) {
    unit_factory make;
    std::deque<store::write_unit> waiting{make.owned("large", request_priority::placement),
                                          make.owned("small", request_priority::placement)};
    waiting[0].ops[0].value.assign(1000, '1');
    EXPECT_EQ(store::choose_units(waiting, 8, 500), (std::vector<std::size_t>{0}));
}

TEST(write_batch, drops_only_expired_units) {
    unit_factory make;
    store::write_batch batch{make.owned("late", request_priority::user_request),
                             make.owned("in time", request_priority::user_request),
                             make.owned("patient", request_priority::user_request)};
    batch[0].deadline = at(5);
    batch[1].deadline = at(6);
    store::drop_expired(batch, at(5));
    EXPECT_EQ(keys_of(batch), (key_list{"in time", "patient"}));
    EXPECT_EQ(make.outcomes, (std::vector<unit_outcome>{{"late", write_outcome::unconfirmed, 0}}));
}

TEST(write_batch, is_split_after_a_refusal_keeping_the_more_urgent_units) {
    unit_factory make;
    std::deque<store::write_unit> waiting{make.owned("next", request_priority::user_request)};
    store::write_batch batch{make.owned("rental", request_priority::placement),
                             make.owned("cancel", request_priority::cancel),
                             make.owned("start", request_priority::placement)};
    store::sort_by_priority(batch);
    store::requeue_after(1, batch, waiting);
    EXPECT_EQ(keys_of(batch), (key_list{"cancel"}));
    EXPECT_EQ(keys_of(waiting), (key_list{"rental", "start", "next"}));
    EXPECT_TRUE(make.outcomes.empty());
}

TEST(write_batch, removes_the_units_whose_conditions_failed) {
    unit_factory make;
    auto not_owned = make.owned("d", request_priority::user_request);
    not_owned.owns_keys = false;
    store::write_batch batch{make.conditional("a", 3), make.conditional("b", 4),
                             make.owned("c", request_priority::user_request), not_owned};
    auto conflicting = store::take_conflicting({"b", "c", "d"}, batch);
    EXPECT_EQ(keys_of(conflicting), (key_list{"b", "c"}));
    EXPECT_EQ(keys_of(batch), (key_list{"a", "d"}));
}

TEST(write_batch, reports_the_outcome_to_every_unit_once) {
    unit_factory make;
    store::write_batch batch{make.conditional("a", 3), make.conditional("b", 4)};
    store::finish(batch, write_outcome::committed, 7);
    EXPECT_TRUE(batch.empty());
    EXPECT_EQ(make.outcomes, (std::vector<unit_outcome>{{"a", write_outcome::committed, 7},
                                                        {"b", write_outcome::committed, 7}}));
}

TEST(transaction, has_conditions_for_every_owned_key_and_the_fence) {
    unit_factory make;
    store::known_revisions revisions;
    revisions.set("p/1", 5);
    store::write_batch batch{make.owned("p/2", request_priority::background),
                             make.owned("p/1", request_priority::placement),
                             make.conditional("j/a/job-1", 9)};
    auto made = store::make_transaction(batch, revisions, txn_condition{"leader", 3});
    std::vector<std::pair<std::string, std::uint64_t>> conditions;
    for (auto &condition : made.conditions)
        conditions.emplace_back(condition.key, condition.revision);
    EXPECT_EQ(conditions, (std::vector<std::pair<std::string, std::uint64_t>>{
                              {"j/a/job-1", 9}, {"p/1", 5}, {"p/2", 0}, {"leader", 3}}));
    EXPECT_EQ(made.ops.size(), 3u);
    EXPECT_EQ(made.priority, request_priority::user_request);
    EXPECT_EQ(made.units_kept_after_refusal, 2u);
    ASSERT_TRUE(made.fence);
    EXPECT_EQ(made.fence->revision, 3u);
    EXPECT_FALSE(made.outcome_unknown);
}

TEST(transaction, has_no_condition_for_a_key_that_is_not_owned) {
    unit_factory make;
    auto unit = make.owned("p/1", request_priority::user_request);
    unit.owns_keys = false;
    auto made = store::make_transaction({unit}, {}, std::nullopt);
    EXPECT_TRUE(made.conditions.empty());
    EXPECT_FALSE(made.fence);
}

TEST(known_revisions, are_kept_for_keys_that_may_be_written_again) {
    store::known_revisions revisions;
    revisions.note_committed({"p/1", "[1]", 0}, 5);
    revisions.note_committed({"j/e/job-1", "{}", 0}, 5);
    EXPECT_EQ(revisions.revision_of("p/1"), 5u);
    EXPECT_EQ(revisions.revision_of("j/e/job-1"), 0u)
        << "a job's records are not written again by owners";
    revisions.note_committed({"p/1", "", 0}, 6);
    EXPECT_EQ(revisions.revision_of("p/1"), 0u) << "deleted";
}
