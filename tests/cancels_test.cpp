// Cancels that travel between controllers: the exchange of one question and one answer at a time.
#include "constants.hpp"
#include "membership/cancel_exchange.hpp"
#include "test_time.hpp"
#include "wire/codec.hpp"
#include <gtest/gtest.h>
#include <string>
#include <vector>

using namespace spindlecroft;
using namespace std::chrono_literals;
using membership::cancel_log;
using membership::cancel_log_reader;
using test::at;
using test::in_seconds;

namespace {

std::vector<std::string> names(const std::vector<cancel_notice> &list) {
    std::vector<std::string> out;
    out.reserve(list.size());
    for (auto &n : list)
        out.push_back(n.job);
    return out;
}

using list = std::vector<std::string>;

// One question and its answer.
struct exchange {
    cancel_log log{"a#1", 100, 2};
    cancel_log_reader reader;
    bool loaded = true;
    list ask(time_point now, std::uint64_t revision = 0) {
        auto q = reader.next_request(revision);
        auto a = log.respond(q);
        a.records_loaded = loaded;
        return names(reader.on_response(q, a, now));
    }
};

} // namespace

TEST(cancels, come_by_name_and_once) {
    exchange x;
    x.log.append({"job-1", 5, {}});
    x.log.append({"job-1", 5, {}}); // learned from the key-value store too
    x.log.append({"job-2", 4, {}});
    EXPECT_EQ(x.ask(at(10)), (list{"job-1", "job-2"}));
    EXPECT_DOUBLE_EQ(in_seconds(x.reader.complete_until()), 10);
    EXPECT_EQ(x.ask(at(11)), list{});
    EXPECT_DOUBLE_EQ(in_seconds(x.reader.complete_until()), 11);
}

TEST(cancels, more_than_an_answer_holds_leave_the_time_unknown) {
    exchange x;
    for (int i = 1; i <= 5; ++i)
        x.log.append({"job-" + std::to_string(i), static_cast<std::uint64_t>(i), {}});
    EXPECT_EQ(x.ask(at(10)), (list{"job-1", "job-2"}));
    EXPECT_LT(x.reader.complete_until(), at(0));
    EXPECT_EQ(x.ask(at(11)), (list{"job-3", "job-4"}));
    EXPECT_EQ(x.ask(at(12)), list{"job-5"});
    EXPECT_DOUBLE_EQ(in_seconds(x.reader.complete_until()), 12);
}

TEST(cancels, a_lost_answer_is_asked_for_again) {
    exchange x;
    x.log.append({"job-1", 5, {}});
    (void)x.log.respond(x.reader.next_request(0)); // never arrives
    EXPECT_EQ(x.ask(at(11)), list{"job-1"});
}

TEST(cancels, what_the_reader_has_read_is_left_out_and_forgotten) {
    exchange x;
    x.log.append({"job-1", 5, {}});
    x.log.append({"job-2", 9, {}});
    x.log.drop_through(5);
    EXPECT_EQ(x.log.size(), 1u);
    EXPECT_EQ(x.ask(at(10), 5), list{"job-2"});
    EXPECT_DOUBLE_EQ(in_seconds(x.reader.complete_until()), 10);
    // A reader that is further behind can't rely on this log until it has read as far.
    cancel_log_reader behind;
    auto q = behind.next_request(4);
    auto a = x.log.respond(q);
    a.records_loaded = true;
    EXPECT_EQ(a.dropped_through_revision, 5u);
    behind.on_response(q, a, at(10));
    EXPECT_LT(behind.complete_until(), at(0));
}

TEST(cancels, an_overfull_log_says_so) {
    exchange x;
    x.log = cancel_log("a#1", 3, 10);
    for (int i = 1; i <= 5; ++i)
        x.log.append({"job-" + std::to_string(i), static_cast<std::uint64_t>(i), {}});
    EXPECT_EQ(x.ask(at(10)), (list{"job-3", "job-4", "job-5"}));
    EXPECT_LT(x.reader.complete_until(), at(0));
    // What follows is whole, but only a read of the key-value store tells of what was given up.
    EXPECT_EQ(x.ask(at(11)), list{});
    EXPECT_LT(x.reader.complete_until(), at(0));
    EXPECT_EQ(x.ask(at(12), 2), list{});
    EXPECT_DOUBLE_EQ(in_seconds(x.reader.complete_until()), 12);
    EXPECT_EQ(x.log.size(), 3u);
}

TEST(cancels, a_restarted_controller_speaks_for_nobody_until_it_has_read) {
    exchange x;
    x.ask(at(10));
    // It confirmed job-7 and was restarted; the new run knows nothing of it.
    x.log = cancel_log("a#2", 100, 2);
    x.loaded = false;
    EXPECT_EQ(x.ask(at(20)), list{});
    EXPECT_DOUBLE_EQ(in_seconds(x.reader.complete_until()), 10);
    x.log.append({"job-7", 8, {}}); // as read from the key-value store
    x.loaded = true;
    EXPECT_EQ(x.ask(at(21)), list{"job-7"});
    EXPECT_DOUBLE_EQ(in_seconds(x.reader.complete_until()), 21);
}

TEST(cancels, contradictions_count_as_not_heard) {
    exchange x;
    x.log.append({"job-1", 5, {}});
    x.ask(at(10));
    auto q = x.reader.next_request(0);
    for (auto spoil : {+[](membership::cancel_log_response &a) { a.after_sequence = 0; },
                       +[](membership::cancel_log_response &a) { a.through_sequence = 0; },
                       +[](membership::cancel_log_response &a) { a.newest_sequence = 0; },
                       +[](membership::cancel_log_response &a) { a.incarnation.clear(); }}) {
        auto reader = x.reader;
        auto a = x.log.respond(q);
        a.records_loaded = true;
        spoil(a);
        EXPECT_THROW((void)reader.on_response(q, a, at(20)), wire::malformed_message);
        EXPECT_DOUBLE_EQ(in_seconds(reader.complete_until()), 10);
        // The next question begins anew and is answered in full.
        auto again = reader.next_request(0);
        auto whole = x.log.respond(again);
        whole.records_loaded = true;
        EXPECT_EQ(names(reader.on_response(again, whole, at(21))), list{"job-1"});
        EXPECT_DOUBLE_EQ(in_seconds(reader.complete_until()), 21);
    }
    // An answer to a question that was asked before the last one arrived.
    auto late = x.log.respond({});
    EXPECT_THROW((void)x.reader.on_response({}, late, at(30)), wire::malformed_message);
}

TEST(cancels, survive_the_wire_and_another_version_is_refused) {
    wire::peer_message m;
    m.cancels = {{"job-1", ~0ull, test::wall_at(1764640000.25)}, {std::string(100, 'x'), 0, {}}};
    auto text = wire::encode_peer_message(m);
    EXPECT_EQ(wire::parse_peer_message(text).cancels, m.cancels);
    auto other = text;
    other[other.find("version") + 7] = 3;
    EXPECT_THROW((void)wire::parse_peer_message(other), wire::malformed_message);
    // What is cut short or bent anywhere is read or refused, never worse.
    for (std::size_t i = 0; i < text.size(); ++i) {
        EXPECT_THROW((void)wire::parse_peer_message(text.substr(0, i)), wire::malformed_message);
        for (char bent : {'\x00', '\x7f', '\x83', '\xff'}) {
            auto t = text;
            t[i] = bent;
            try {
                wire::parse_peer_message(t);
            } catch (const wire::malformed_message &) {
            }
        }
    }
    // The largest answer fits a message.
    wire::peer_message full;
    for (std::size_t i = 0; i < constants::max_cancels_per_answer; ++i)
        full.cancels.push_back({std::string(100, 'x'), ~0ull, test::wall_at(1e12)});
    EXPECT_LT(wire::encode_peer_message(full).size(), constants::max_request_body_bytes - 1024);
}

namespace {

// A reader that was last answered at `heard` and told of no cancel.
cancel_log_reader heard_at(time_point heard, seconds read_age = seconds{1e9}) {
    exchange x;
    auto q = x.reader.next_request(0);
    auto a = x.log.respond(q);
    a.records_loaded = true;
    a.read_age = read_age;
    x.reader.on_response(q, a, heard);
    return x.reader;
}

time_point known(time_point now, time_point fresh, const std::vector<cancel_log_reader> &readers) {
    std::vector<const cancel_log_reader *> all;
    all.reserve(readers.size());
    for (auto &r : readers)
        all.push_back(&r);
    return membership::cancels_complete_until(now, fresh, all);
}

} // namespace

TEST(cancels, a_blind_leader_lets_leases_end_in_time) {
    seconds lease = 14s, cancel = 39s;
    auto fresh = at(100);
    // Neither peer answers any more: a cancel may have been accepted right after the last read.
    std::vector<cancel_log_reader> silent = {heard_at(at(99)), heard_at(at(99))};
    time_point last_renewal{};
    for (auto now = fresh; now < fresh + 100s; now += seconds{0.1})
        if (membership::may_renew_lease(now, known(now, fresh, silent), lease, cancel))
            last_renewal = now;
    EXPECT_GT(last_renewal, fresh + 10s) << "a short outage must not kill running work";
    EXPECT_LT(last_renewal + lease * 1.0005, fresh + cancel - 1s);
    // In an outage all peers answer, and none has told of a cancel since: work goes on.
    for (auto now = fresh; now < fresh + 300s; now += 1s) {
        std::vector<cancel_log_reader> quiet = {heard_at(now - 1s), heard_at(now - 1s)};
        EXPECT_TRUE(membership::may_renew_lease(now, known(now, fresh, quiet), lease, cancel));
    }
    // One peer can't be heard since: only the read counts.
    EXPECT_DOUBLE_EQ(in_seconds(known(at(130), fresh, {heard_at(at(129)), heard_at(at(99))})),
                     in_seconds(fresh));
    // Another has read the key-value store since, and told all that it held: that counts as well.
    EXPECT_NEAR(in_seconds(known(at(130), fresh, {heard_at(at(129), 4s), heard_at(at(99))})), 125,
                0.2);
}
