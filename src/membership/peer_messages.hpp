// The messages by which controllers vote and exchange cancellation notices, and their encoding.
//
// A controller sends a peer_request and gets a vote_response. Fields that a message of another
// version omits get the defaults that are safe to assume: no vote, no store, nothing read.
#pragma once
#include "common/time.hpp"
#include "membership/cancel_exchange.hpp"
#include "wire/codec.hpp"
#include <optional>
#include <string>

namespace spindlecroft::membership {

/// Kind of a request to another controller.
enum class request_kind {
    vote,    // requests a vote, or the extension of one
    release, // releases the vote for a candidacy that ended
    other    // a kind that this version does not know; answered like the others
};

/// Role in which a controller requests votes.
enum class requester_role { candidate, leader };

/// A request to another controller.
struct peer_request {
    request_kind kind = request_kind::other;
    std::string from;      // node that sends the request
    std::string candidacy; // candidacy that the vote is requested for, or released by
    requester_role role = requester_role::candidate;
    seconds vote_duration{};
    std::optional<bool> store_reachable; // whether the key-value store answers the sender
    /// Set by a leader. True: it may have to step down, and asks the receiver to find out whether
    /// the key-value store answers it. Nothing: the sender is a candidate.
    std::optional<bool> wants_store_check;
    std::optional<cancel_log_request> cancels;
};

/// The response to a peer_request.
struct vote_response {
    std::optional<bool> granted;  // nothing: no vote was requested
    bool store_reachable = false; // whether the key-value store answers the responder
    /// Time since a worker last sent the responder a heartbeat; nothing: unknown or never.
    std::optional<seconds> heartbeat_age;
    std::string vote_holder; // candidacy that holds the responder's vote; empty: none
    std::optional<cancel_log_response> cancels;
};

/// Encoders and decoders. Durations are encoded as whole milliseconds.
[[nodiscard]] wire::peer_message encode(const peer_request &request);
[[nodiscard]] peer_request decode_request(const wire::peer_message &message);
[[nodiscard]] wire::peer_message encode(const vote_response &response);
/// decode_cancel_log_response() decodes the cancel log part of a vote response, which only a leader
/// requests.
[[nodiscard]] vote_response decode_vote_response(const wire::peer_message &message);
[[nodiscard]] cancel_log_response decode_cancel_log_response(const wire::peer_message &message);

} // namespace spindlecroft::membership
