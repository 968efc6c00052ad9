// Tests of the exchange of cancellation notices between controllers, one request and one response
// at a time.
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

std::vector<std::string> job_ids(const std::vector<cancel_notice> &notices) {
    std::vector<std::string> ids;
    ids.reserve(notices.size());
    for (auto &notice : notices)
        ids.push_back(notice.job);
    return ids;
}

using job_id_list = std::vector<std::string>;

// A cancel log and its reader; poll() makes one request and applies the response.
struct log_exchange {
    cancel_log log{"a#1", 100, 2};
    cancel_log_reader reader;
    bool loaded = true;
    job_id_list poll(time_point now, std::uint64_t revision = 0) {
        auto request = reader.next_request(revision);
        auto response = log.respond(request);
        response.records_loaded = loaded;
        return job_ids(reader.on_response(request, response, now));
    }
};

} // namespace

TEST(cancels, each_notice_is_delivered_once) {
    log_exchange exchange;
    exchange.log.append({"job-1", 5, {}});
    exchange.log.append({"job-1", 5, {}}); // read from the key-value store too
    exchange.log.append({"job-2", 4, {}});
    EXPECT_EQ(exchange.poll(at(10)), (job_id_list{"job-1", "job-2"}));
    EXPECT_DOUBLE_EQ(in_seconds(exchange.reader.complete_until()), 10);
    EXPECT_EQ(exchange.poll(at(11)), job_id_list{});
    EXPECT_DOUBLE_EQ(in_seconds(exchange.reader.complete_until()), 11);
}

TEST(cancels, truncated_response_does_not_advance_the_complete_time) {
    log_exchange exchange;
    for (int i = 1; i <= 5; ++i)
        exchange.log.append({"job-" + std::to_string(i), static_cast<std::uint64_t>(i), {}});
    EXPECT_EQ(exchange.poll(at(10)), (job_id_list{"job-1", "job-2"}));
    EXPECT_LT(exchange.reader.complete_until(), at(0));
    EXPECT_EQ(exchange.poll(at(11)), (job_id_list{"job-3", "job-4"}));
    EXPECT_EQ(exchange.poll(at(12)), job_id_list{"job-5"});
    EXPECT_DOUBLE_EQ(in_seconds(exchange.reader.complete_until()), 12);
}

TEST(cancels, lost_response_is_requested_again) {
    log_exchange exchange;
    exchange.log.append({"job-1", 5, {}});
    (void)exchange.log.respond(exchange.reader.next_request(0)); // the response is lost
    EXPECT_EQ(exchange.poll(at(11)), job_id_list{"job-1"});
}

TEST(cancels, entries_that_the_reader_has_read_are_omitted_and_dropped) {
    log_exchange exchange;
    exchange.log.append({"job-1", 5, {}});
    exchange.log.append({"job-2", 9, {}});
    exchange.log.drop_through(5);
    EXPECT_EQ(exchange.log.size(), 1u);
    EXPECT_EQ(exchange.poll(at(10), 5), job_id_list{"job-2"});
    EXPECT_DOUBLE_EQ(in_seconds(exchange.reader.complete_until()), 10);
    // A reader that has read less of the store can't rely on this log until it has read as far.
    cancel_log_reader lagging_reader;
    auto request = lagging_reader.next_request(4);
    auto response = exchange.log.respond(request);
    response.records_loaded = true;
    EXPECT_EQ(response.dropped_through_revision, 5u);
    lagging_reader.on_response(request, response, at(10));
    EXPECT_LT(lagging_reader.complete_until(), at(0));
}

TEST(cancels, overfull_log_reports_the_dropped_revision) {
    log_exchange exchange;
    exchange.log = cancel_log("a#1", 3, 10);
    for (int i = 1; i <= 5; ++i)
        exchange.log.append({"job-" + std::to_string(i), static_cast<std::uint64_t>(i), {}});
    EXPECT_EQ(exchange.poll(at(10)), (job_id_list{"job-3", "job-4", "job-5"}));
    EXPECT_LT(exchange.reader.complete_until(), at(0));
    // The log is complete from here on, but only a read of the key-value store makes up for the
    // dropped entries.
    EXPECT_EQ(exchange.poll(at(11)), job_id_list{});
    EXPECT_LT(exchange.reader.complete_until(), at(0));
    EXPECT_EQ(exchange.poll(at(12), 2), job_id_list{});
    EXPECT_DOUBLE_EQ(in_seconds(exchange.reader.complete_until()), 12);
    EXPECT_EQ(exchange.log.size(), 3u);
}

TEST(cancels, restarted_controller_does_not_advance_the_complete_time_until_it_has_read) {
    log_exchange exchange;
    exchange.poll(at(10));
    // The controller confirmed the cancellation of job-7 and was restarted; its new log lacks the
    // entry.
    exchange.log = cancel_log("a#2", 100, 2);
    exchange.loaded = false;
    EXPECT_EQ(exchange.poll(at(20)), job_id_list{});
    EXPECT_DOUBLE_EQ(in_seconds(exchange.reader.complete_until()), 10);
    exchange.log.append({"job-7", 8, {}}); // as read from the key-value store
    exchange.loaded = true;
    EXPECT_EQ(exchange.poll(at(21)), job_id_list{"job-7"});
    EXPECT_DOUBLE_EQ(in_seconds(exchange.reader.complete_until()), 21);
}

TEST(cancels, contradictory_responses_are_ignored) {
    log_exchange exchange;
    exchange.log.append({"job-1", 5, {}});
    exchange.poll(at(10));
    auto request = exchange.reader.next_request(0);
    for (auto corrupt :
         {+[](membership::cancel_log_response &response) { response.after_sequence = 0; },
          +[](membership::cancel_log_response &response) { response.through_sequence = 0; },
          +[](membership::cancel_log_response &response) { response.newest_sequence = 0; },
          +[](membership::cancel_log_response &response) { response.incarnation.clear(); }}) {
        auto reader = exchange.reader;
        auto response = exchange.log.respond(request);
        response.records_loaded = true;
        corrupt(response);
        EXPECT_THROW((void)reader.on_response(request, response, at(20)), wire::malformed_message);
        EXPECT_DOUBLE_EQ(in_seconds(reader.complete_until()), 10);
        // The next request starts from the beginning and gets a complete response.
        auto repeated_request = reader.next_request(0);
        auto complete_response = exchange.log.respond(repeated_request);
        complete_response.records_loaded = true;
        EXPECT_EQ(job_ids(reader.on_response(repeated_request, complete_response, at(21))),
                  job_id_list{"job-1"});
        EXPECT_DOUBLE_EQ(in_seconds(reader.complete_until()), 21);
    }
    // A response to a request that was sent before the last response arrived.
    auto outdated_response = exchange.log.respond({});
    EXPECT_THROW((void)exchange.reader.on_response({}, outdated_response, at(30)),
                 wire::malformed_message);
}

TEST(cancels, messages_are_encoded_and_decoded_and_another_version_is_rejected) {
    wire::peer_message message;
    message.cancels = {{"job-1", ~0ull, test::wall_at(1764640000.25)},
                       {std::string(100, 'x'), 0, {}}};
    auto text = wire::encode_peer_message(message);
    EXPECT_EQ(wire::parse_peer_message(text).cancels, message.cancels);
    auto other_version = text;
    other_version[other_version.find("version") + 7] = 3;
    EXPECT_THROW((void)wire::parse_peer_message(other_version), wire::malformed_message);
    // A message that is truncated or altered at any byte is either decoded or rejected; it must not
    // crash.
    for (std::size_t i = 0; i < text.size(); ++i) {
        EXPECT_THROW((void)wire::parse_peer_message(text.substr(0, i)), wire::malformed_message);
        for (char altered : {'\x00', '\x7f', '\x83', '\xff'}) {
            auto altered_text = text;
            altered_text[i] = altered;
            try {
                wire::parse_peer_message(altered_text);
            } catch (const wire::malformed_message &) {
            }
        }
    }
    // The largest response fits into a message.
    wire::peer_message largest;
    for (std::size_t i = 0; i < constants::max_cancels_per_answer; ++i)
        largest.cancels.push_back({std::string(100, 'x'), ~0ull, test::wall_at(1e12)});
    EXPECT_LT(wire::encode_peer_message(largest).size(), constants::max_request_body_bytes - 1024);
}

namespace {

// Returns a reader that got its last response, without entries, at `responded_at`.
cancel_log_reader reader_with_response_at(time_point responded_at,
                                          seconds read_age = seconds{1e9}) {
    log_exchange exchange;
    auto request = exchange.reader.next_request(0);
    auto response = exchange.log.respond(request);
    response.records_loaded = true;
    response.read_age = read_age;
    exchange.reader.on_response(request, response, responded_at);
    return exchange.reader;
}

time_point complete_until(time_point now, time_point fresh_at,
                          const std::vector<cancel_log_reader> &readers) {
    std::vector<const cancel_log_reader *> all;
    all.reserve(readers.size());
    for (auto &reader : readers)
        all.push_back(&reader);
    return membership::cancels_complete_until(now, fresh_at, all);
}

} // namespace

TEST(cancels, leader_without_the_store_lets_leases_expire_in_time) {
    seconds lease_duration = 14s, cancel_deadline = 39s;
    auto fresh_at = at(100);
    // Neither peer responds any more: a cancellation may have been confirmed right after the last
    // read.
    std::vector<cancel_log_reader> silent_peers = {reader_with_response_at(at(99)),
                                                   reader_with_response_at(at(99))};
    time_point last_renewal{};
    for (auto now = fresh_at; now < fresh_at + 100s; now += seconds{0.1})
        if (membership::may_renew_lease(now, complete_until(now, fresh_at, silent_peers),
                                        lease_duration, cancel_deadline))
            last_renewal = now;
    EXPECT_GT(last_renewal, fresh_at + 10s) << "a short outage must not end running tasks";
    EXPECT_LT(last_renewal + lease_duration * 1.0005, fresh_at + cancel_deadline - 1s);
    // In an outage of the store all peers respond, and none has confirmed a cancellation since:
    // tasks keep running.
    for (auto now = fresh_at; now < fresh_at + 300s; now += 1s) {
        std::vector<cancel_log_reader> responding_peers = {reader_with_response_at(now - 1s),
                                                           reader_with_response_at(now - 1s)};
        EXPECT_TRUE(membership::may_renew_lease(
            now, complete_until(now, fresh_at, responding_peers), lease_duration, cancel_deadline));
    }
    // One peer has not responded since: only the read counts.
    EXPECT_DOUBLE_EQ(in_seconds(complete_until(
                         at(130), fresh_at,
                         {reader_with_response_at(at(129)), reader_with_response_at(at(99))})),
                     in_seconds(fresh_at));
    // Another peer has read the key-value store since and passed on all its entries: its read
    // counts as well.
    EXPECT_NEAR(in_seconds(complete_until(
                    at(130), fresh_at,
                    {reader_with_response_at(at(129), 4s), reader_with_response_at(at(99))})),
                125, 0.2);
}
