// The messages by which controllers vote and tell each other of cancels, and their form on the
// wire.
//
// A controller sends a peer_request and gets a vote_response. Fields that a message of another
// version leaves out keep the values that are safe to assume: no vote, no store, nothing read.
#pragma once
#include "common/time.hpp"
#include "membership/cancel_exchange.hpp"
#include "wire/codec.hpp"
#include <optional>
#include <string>

namespace spindlecroft::membership {

enum class request_kind {
    vote,    // asks for a vote, or for a longer one
    release, // gives back the vote to a candidacy that ended
    other    // of a kind that this version does not know; answered all the same
};

// In which role a controller asks for votes.
enum class requester_role { candidate, leader };

// A request to another controller.
struct peer_request {
    request_kind kind = request_kind::other;
    std::string from;      // node that sends it
    std::string candidacy; // the vote is for, or was given to, this candidacy
    requester_role role = requester_role::candidate;
    seconds vote_duration{};
    std::optional<bool> store_reachable; // the key-value store answers the sender
    // The sender, a leader, may have to step down, and asks the other controller to find out
    // whether the key-value store answers there; nothing: the sender is a candidate.
    std::optional<bool> wants_store_check;
    std::optional<cancel_log_request> cancels;
};

struct vote_response {
    std::optional<bool> granted;  // nothing: no vote was asked for
    bool store_reachable = false; // the key-value store answers the controller
    // Since a worker last sent the controller a heartbeat; nothing: unknown or never.
    std::optional<seconds> heartbeat_age;
    std::string vote_holder; // candidacy that has the controller's vote; empty: none
    std::optional<cancel_log_response> cancels;
};

// Lengths of time travel as whole milliseconds.
[[nodiscard]] wire::peer_message encode(const peer_request &request);
[[nodiscard]] peer_request decode_request(const wire::peer_message &message);
[[nodiscard]] wire::peer_message encode(const vote_response &answer);
// The answer's part on cancels is decoded apart: only a leader asks for it.
[[nodiscard]] vote_response decode_vote_response(const wire::peer_message &message);
[[nodiscard]] cancel_log_response decode_cancel_log_response(const wire::peer_message &message);

} // namespace spindlecroft::membership
