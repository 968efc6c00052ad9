// Tests of the messages between controllers against bytes that the version in production wrote.
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

// A field must not be lost or renamed between the typed messages and the wire.
TEST(peer_messages, encode_to_the_recorded_bytes) {
    for (auto *name : {"promise_question", "release"}) {
        auto bytes = recorded_message(name);
        auto request = membership::decode_request(wire::parse_peer_message(bytes));
        EXPECT_EQ(wire::encode_peer_message(membership::encode(request)), bytes) << name;
    }
    auto bytes = recorded_message("promise_answer");
    auto message = wire::parse_peer_message(bytes);
    auto response = membership::decode_vote_response(message);
    response.cancels = membership::decode_cancel_log_response(message);
    // Each encoding rounds the age of the read up by one more millisecond.
    response.cancels->read_age = *response.cancels->read_age - 1ms;
    EXPECT_EQ(wire::encode_peer_message(membership::encode(response)), bytes);
}

TEST(peer_messages, missing_response_fields_get_the_worst_case_defaults) {
    auto response = membership::decode_vote_response({});
    EXPECT_EQ(response.granted, std::nullopt);
    EXPECT_FALSE(response.store_reachable);
    EXPECT_EQ(response.heartbeat_age, std::nullopt);
    auto cancels = membership::decode_cancel_log_response({});
    EXPECT_FALSE(cancels.records_loaded);
    EXPECT_EQ(cancels.dropped_through_revision, ~std::uint64_t{0});
    EXPECT_EQ(cancels.read_age, seconds{1e6});
}
