// The messages of class member: vote requests, and cancellation notices that travel with them.
#include "constants.hpp"
#include "membership/member.hpp"

namespace spindlecroft::membership {

namespace c = constants;
using net::awaitable;
using net::steady_now;

static constexpr const char *peer_path = "/member";

time_point member::cancels_complete_until() const {
    std::vector<const cancel_log_reader *> readers;
    for (auto &peer : peers_)
        readers.push_back(&peer->cancel_reader);
    return membership::cancels_complete_until(steady_now(), get_records_status().fresh_at, readers);
}

// --- requests from other controllers ---

std::string member::handle_message(const std::string &body) {
    auto request = decode_request(wire::parse_peer_message(body));
    auto now = steady_now();
    vote_response response;
    response.granted = election_.on_request(request, now);
    if (response.granted == false && request.role == requester_role::leader &&
        !election_.in_blackout(now))
        spdlog::debug("refused vote to candidacy {}: held by candidacy {}", request.candidacy,
                      election_.vote_holder(now));
    // A leader that is cut off from the key-value store or from its workers asks whether another
    // controller could be elected. A read started now shows by its next request whether the
    // key-value store answers this controller.
    if (request.wants_store_check.value_or(false) &&
        now - get_records_status().fresh_at > c::leader_renew_interval)
        request_records_read();
    response.store_reachable = store_.is_available(now);
    response.heartbeat_age = election_.heartbeat_age(now);
    if (request.cancels)
        response.cancels = make_cancel_log_response(*request.cancels, now);
    response.vote_holder = election_.vote_holder(now);
    return wire::encode_peer_message(encode(response));
}

cancel_log_response member::make_cancel_log_response(const cancel_log_request &request,
                                                     time_point now) {
    auto records = get_records_status();
    cancel_log_.drop_through(request.revision);
    auto response = cancel_log_.respond(request);
    response.records_loaded = records.loaded;
    response.read_age = now - records.fresh_at;
    return response;
}

// --- requests to other controllers ---

void member::request_votes(requester_role role, seconds vote_duration) {
    for (auto &peer : peers_)
        net::spawn(io_, request_vote(*peer, role, vote_duration), "vote request to " + peer->name);
}

awaitable<void> member::request_vote(peer_link &peer, requester_role role, seconds vote_duration) {
    if (peer.request_pending)
        co_return;
    peer.request_pending = true;
    auto request = make_vote_request(peer, role, vote_duration);
    auto sent_at = steady_now();
    net::permission permitted = [this, request] {
        return election_.is_current(request, steady_now());
    };
    auto body = wire::encode_peer_message(encode(request));
    auto received = co_await peer.client->call("POST", peer_path, std::move(body), c::peer_timeout,
                                               true, std::move(permitted));
    peer.request_pending = false;
    if (!received.ok())
        co_return;
    try {
        handle_response(peer, request, received.body, sent_at);
        peer.last_error.clear();
    } catch (const wire::malformed_message &error) {
        if (peer.last_error != error.what()) // once, not every round
            spdlog::warn("ignored malformed response from controller {}: {}", peer.name,
                         error.what());
        peer.last_error = error.what();
    }
}

peer_request member::make_vote_request(const peer_link &peer, requester_role role,
                                       seconds vote_duration) const {
    auto now = steady_now();
    peer_request request;
    request.kind = request_kind::vote;
    request.from = settings_.node;
    request.candidacy = election_.candidacy();
    request.role = role;
    request.vote_duration = vote_duration;
    request.store_reachable = store_.is_available(now);
    if (role == requester_role::leader) {
        request.wants_store_check = !store_.is_available(now) || election_.lacks_heartbeats(now);
        request.cancels = peer.cancel_reader.next_request(get_records_status().revision);
    }
    return request;
}

// Throws wire::malformed_message; the parts of the response applied before that stay in effect.
void member::handle_response(peer_link &peer, const peer_request &request, const std::string &body,
                             time_point sent_at) {
    auto message = wire::parse_peer_message(body);
    auto response = decode_vote_response(message);
    election_.on_response(peer.name, response, steady_now());
    if (response.granted.value_or(false))
        election_.on_vote_granted(peer.name, request, sent_at, steady_now());
    state_changed_.notify();
    if (request.cancels)
        handle_cancels(peer, *request.cancels, decode_cancel_log_response(message), sent_at);
}

void member::handle_cancels(peer_link &peer, const cancel_log_request &request,
                            const cancel_log_response &response, time_point sent_at) {
    auto notices = peer.cancel_reader.on_response(request, response, sent_at);
    // They are logged here too: the next leader may request them from this controller.
    for (auto &notice : notices)
        cancel_log_.append(notice);
    if (!notices.empty() && election_.is_elected() && on_cancels)
        on_cancels(notices);
}

void member::release_votes() {
    election_.release_own_vote();
    // The request releases only this candidacy's votes: it may arrive late, when there is a newer
    // one.
    peer_request request;
    request.kind = request_kind::release;
    request.from = settings_.node;
    request.candidacy = election_.candidacy();
    auto body = wire::encode_peer_message(encode(request));
    // The lambda captures nothing, because the coroutines outlive this function and the lambda
    // object.
    auto send = [](net::client &client, std::string message) -> awaitable<void> {
        co_await client.call("POST", peer_path, std::move(message), c::peer_timeout, true);
    };
    for (auto &peer : peers_)
        net::spawn(io_, send(*peer->client, body), "vote release");
}

} // namespace spindlecroft::membership
