// The typed messages between controllers against bytes that the version in production wrote.
#include "membership/peer_messages.hpp"
#include <fstream>
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace std::chrono_literals;

namespace {

std::string recorded_message(const std::string &name) {
    std::ifstream in(std::string(SPINDLECROFT_SAMPLES) + "/messages/" + name + ".hex");
    EXPECT_TRUE(in) << name;
    std::string hex;
    in >> hex;
    std::string bytes;
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
        bytes += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
    return bytes;
}

} // namespace

// Guards against a field that is lost or renamed between the typed messages and the wire.
TEST(peer_messages, encode_to_the_recorded_bytes) {
    for (auto *name : {"promise_question", "release"}) {
        auto bytes = recorded_message(name);
        auto request = membership::decode_request(wire::parse_peer_message(bytes));
        EXPECT_EQ(wire::encode_peer_message(membership::encode(request)), bytes) << name;
    }
    auto bytes = recorded_message("promise_answer");
    auto message = wire::parse_peer_message(bytes);
    auto answer = membership::decode_vote_response(message);
    answer.cancels = membership::decode_cancel_log_response(message);
    // The age of the read is rounded up by one more millisecond each time that it is sent.
    answer.cancels->read_age = *answer.cancels->read_age - 1ms;
    EXPECT_EQ(wire::encode_peer_message(membership::encode(answer)), bytes);
}

TEST(peer_messages, what_an_answer_leaves_out_is_taken_for_the_worst) {
    auto answer = membership::decode_vote_response({});
    EXPECT_EQ(answer.granted, std::nullopt);
    EXPECT_FALSE(answer.store_reachable);
    EXPECT_EQ(answer.heartbeat_age, std::nullopt);
    auto cancels = membership::decode_cancel_log_response({});
    EXPECT_FALSE(cancels.records_loaded);
    EXPECT_EQ(cancels.dropped_through_revision, ~std::uint64_t{0});
    EXPECT_EQ(cancels.read_age, seconds{1e6});
}
