#include "membership/peer_messages.hpp"
#include <algorithm>
#include <limits>

namespace spindlecroft::membership {

namespace {

// Keys and values on the wire. Controllers of the version in production read them, so they must not
// change.
namespace keys {
constexpr auto kind = "kind";
constexpr auto from = "from";
constexpr auto candidacy = "as";
constexpr auto role = "role";
constexpr auto vote_length_ms = "ms";
constexpr auto store_reachable = "state_ok";
constexpr auto wants_store_check = "wants_word";
constexpr auto granted = "granted";
constexpr auto heartbeat_age_ms = "reports_age_ms";
constexpr auto vote_holder = "holder";
constexpr auto cancels_incarnation = "cancels_run";
constexpr auto cancels_after = "cancels_after";
constexpr auto cancels_revision = "cancels_revision";
constexpr auto cancels_upto = "cancels_upto";
constexpr auto cancels_newest = "cancels_newest";
constexpr auto cancels_given_up = "cancels_given_up";
constexpr auto records_loaded = "loaded";
constexpr auto read_age_ms = "read_age_ms";
} // namespace keys

namespace values {
constexpr auto kind_vote = "promise";
constexpr auto kind_release = "release";
constexpr auto role_leader = "leader";
constexpr auto role_candidate = "candidate";
} // namespace values

// The greatest ages that are sent; they also stand for "never".
constexpr double longest_heartbeat_age_ms = 1e6;
constexpr double longest_read_age_ms = 1e9;

seconds from_milliseconds(std::uint64_t count) {
    return seconds{static_cast<double>(count) / 1000.0};
}

request_kind kind_of(const std::string &text) {
    if (text == values::kind_vote)
        return request_kind::vote;
    if (text == values::kind_release)
        return request_kind::release;
    return request_kind::other;
}

bool has_number(const wire::peer_message &message, const char *key) {
    return message.numbers.count(key) != 0;
}

void encode_cancel_log_request(const cancel_log_request &request, wire::peer_message &out) {
    out.texts[keys::cancels_incarnation] = request.incarnation;
    out.numbers[keys::cancels_after] = request.after_sequence;
    out.numbers[keys::cancels_revision] = request.revision;
}

void encode_vote_request(const peer_request &request, wire::peer_message &out) {
    out.texts[keys::kind] = values::kind_vote;
    out.texts[keys::role] =
        request.role == requester_role::leader ? values::role_leader : values::role_candidate;
    out.numbers[keys::vote_length_ms] =
        static_cast<std::uint64_t>(request.vote_duration.count() * 1000);
    if (request.store_reachable)
        out.numbers[keys::store_reachable] = *request.store_reachable;
    if (request.wants_store_check)
        out.numbers[keys::wants_store_check] = *request.wants_store_check;
    if (request.cancels)
        encode_cancel_log_request(*request.cancels, out);
}

void encode_cancel_log_response(const cancel_log_response &response, wire::peer_message &out) {
    out.texts[keys::cancels_incarnation] = response.incarnation;
    out.numbers[keys::cancels_after] = response.after_sequence;
    out.numbers[keys::cancels_upto] = response.through_sequence;
    out.numbers[keys::cancels_newest] = response.newest_sequence;
    out.numbers[keys::cancels_given_up] = response.dropped_through_revision;
    out.numbers[keys::records_loaded] = response.records_loaded;
    auto read_age = response.read_age.value_or(seconds::max());
    // Rounded up, so that the receiver never takes the read for a more recent one.
    out.numbers[keys::read_age_ms] =
        static_cast<std::uint64_t>(std::min(longest_read_age_ms, read_age.count() * 1000) + 1);
    out.cancels = response.entries;
}

} // namespace

wire::peer_message encode(const peer_request &request) {
    wire::peer_message out;
    out.texts[keys::from] = request.from;
    out.texts[keys::candidacy] = request.candidacy;
    if (request.kind == request_kind::vote)
        encode_vote_request(request, out);
    else if (request.kind == request_kind::release)
        out.texts[keys::kind] = values::kind_release;
    return out;
}

peer_request decode_request(const wire::peer_message &message) {
    peer_request request;
    request.kind = kind_of(message.text(keys::kind));
    request.from = message.text(keys::from);
    request.candidacy = message.text(keys::candidacy);
    if (message.text(keys::role) == values::role_leader)
        request.role = requester_role::leader;
    request.vote_duration = from_milliseconds(message.number(keys::vote_length_ms));
    if (has_number(message, keys::store_reachable))
        request.store_reachable = message.number(keys::store_reachable) != 0;
    if (has_number(message, keys::wants_store_check))
        request.wants_store_check = message.number(keys::wants_store_check) != 0;
    if (message.texts.count(keys::cancels_incarnation))
        request.cancels = cancel_log_request{message.text(keys::cancels_incarnation),
                                             message.number(keys::cancels_after),
                                             message.number(keys::cancels_revision)};
    return request;
}

wire::peer_message encode(const vote_response &response) {
    wire::peer_message out;
    if (response.granted)
        out.numbers[keys::granted] = *response.granted;
    out.numbers[keys::store_reachable] = response.store_reachable;
    auto heartbeat_age = response.heartbeat_age.value_or(seconds::max());
    out.numbers[keys::heartbeat_age_ms] = static_cast<std::uint64_t>(
        std::min(longest_heartbeat_age_ms, heartbeat_age.count() * 1000));
    out.texts[keys::vote_holder] = response.vote_holder;
    if (response.cancels)
        encode_cancel_log_response(*response.cancels, out);
    return out;
}

vote_response decode_vote_response(const wire::peer_message &message) {
    vote_response response;
    if (has_number(message, keys::granted))
        response.granted = message.number(keys::granted) != 0;
    response.store_reachable = message.number(keys::store_reachable) != 0;
    if (has_number(message, keys::heartbeat_age_ms))
        response.heartbeat_age = from_milliseconds(message.number(keys::heartbeat_age_ms));
    response.vote_holder = message.text(keys::vote_holder);
    return response;
}

cancel_log_response decode_cancel_log_response(const wire::peer_message &message) {
    cancel_log_response response;
    response.incarnation = message.text(keys::cancels_incarnation);
    response.after_sequence = message.number(keys::cancels_after);
    response.through_sequence = message.number(keys::cancels_upto);
    response.newest_sequence = message.number(keys::cancels_newest);
    // Without this number any entry may have been dropped.
    response.dropped_through_revision =
        message.number(keys::cancels_given_up, std::numeric_limits<std::uint64_t>::max());
    response.records_loaded = message.number(keys::records_loaded) != 0;
    response.read_age = from_milliseconds(
        message.number(keys::read_age_ms, static_cast<std::uint64_t>(longest_read_age_ms)));
    response.entries = message.cancels;
    return response;
}

} // namespace spindlecroft::membership
