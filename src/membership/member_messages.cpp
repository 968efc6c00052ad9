// The messages of class member: votes and cancels that controllers ask each other for.
#include "constants.hpp"
#include "membership/member.hpp"

namespace spindlecroft::membership {

namespace c = constants;
using net::awaitable;
using net::steady_now;

static constexpr const char *peer_path = "/member";

time_point member::cancels_complete_until() const {
    std::vector<const cancel_log_reader *> readers;
    for (auto &link : peers_)
        readers.push_back(&link->cancel_reader);
    return membership::cancels_complete_until(steady_now(), get_records_status().fresh_at, readers);
}

// --- requests of others ---

std::string member::handle_message(const std::string &body) {
    auto request = decode_request(wire::parse_peer_message(body));
    auto now = steady_now();
    vote_response answer;
    answer.granted = election_.on_request(request, now);
    if (answer.granted == false && request.role == requester_role::leader &&
        !election_.in_blackout(now))
        spdlog::debug("no promise to {}: given to {}", request.candidacy,
                      election_.vote_holder(now));
    // A leader without the key-value store, or its workers, asks whether another could be elected:
    // this controller must know by the next request whether the key-value store answers it.
    if (request.wants_store_check.value_or(false) &&
        now - get_records_status().fresh_at > c::leader_renew_interval)
        request_records_read();
    answer.store_reachable = store_.is_available(now);
    answer.heartbeat_age = election_.heartbeat_age(now);
    if (request.cancels)
        answer.cancels = make_cancel_log_response(*request.cancels, now);
    answer.vote_holder = election_.vote_holder(now);
    return wire::encode_peer_message(encode(answer));
}

cancel_log_response member::make_cancel_log_response(const cancel_log_request &question,
                                                     time_point now) {
    auto view = get_records_status();
    cancel_log_.drop_through(question.revision);
    auto answer = cancel_log_.respond(question);
    answer.records_loaded = view.loaded;
    answer.read_age = now - view.fresh_at;
    return answer;
}

// --- requests to others ---

void member::request_votes(requester_role role, seconds vote_length) {
    for (auto &link : peers_)
        net::spawn(io_, request_vote(*link, role, vote_length), "ask " + link->name);
}

awaitable<void> member::request_vote(peer_link &link, requester_role role, seconds vote_length) {
    if (link.request_pending)
        co_return;
    link.request_pending = true;
    auto request = make_vote_request(link, role, vote_length);
    auto sent_at = steady_now();
    net::permission permitted = [this, request] {
        return election_.is_current(request, steady_now());
    };
    auto body = wire::encode_peer_message(encode(request));
    auto reply = co_await link.client->call("POST", peer_path, std::move(body), c::peer_timeout,
                                            true, std::move(permitted));
    link.request_pending = false;
    if (!reply.ok())
        co_return;
    try {
        handle_response(link, request, reply.body, sent_at);
        link.last_error.clear();
    } catch (const wire::malformed_message &error) {
        if (link.last_error != error.what()) // once, not each round
            spdlog::warn("{}: {}: counts as not heard", link.name, error.what());
        link.last_error = error.what();
    }
}

peer_request member::make_vote_request(const peer_link &link, requester_role role,
                                       seconds vote_length) const {
    auto now = steady_now();
    peer_request request;
    request.kind = request_kind::vote;
    request.from = settings_.node;
    request.candidacy = election_.candidacy();
    request.role = role;
    request.vote_duration = vote_length;
    request.store_reachable = store_.is_available(now);
    if (role == requester_role::leader) {
        request.wants_store_check = !store_.is_available(now) || election_.lacks_heartbeats(now);
        request.cancels = link.cancel_reader.next_request(get_records_status().revision);
    }
    return request;
}

// Throws wire::malformed_message; what was taken before stays.
void member::handle_response(peer_link &link, const peer_request &request, const std::string &body,
                             time_point sent_at) {
    auto message = wire::parse_peer_message(body);
    auto answer = decode_vote_response(message);
    election_.on_response(link.name, answer, steady_now());
    if (answer.granted.value_or(false))
        election_.on_vote_granted(link.name, request, sent_at, steady_now());
    state_changed_.notify();
    if (request.cancels)
        handle_cancels(link, *request.cancels, decode_cancel_log_response(message), sent_at);
}

void member::handle_cancels(peer_link &link, const cancel_log_request &question,
                            const cancel_log_response &answer, time_point sent_at) {
    auto news = link.cancel_reader.on_response(question, answer, sent_at);
    // They stay known here too: this controller may be asked by the next leader.
    for (auto &notice : news)
        cancel_log_.append(notice);
    if (!news.empty() && election_.is_elected() && on_cancels)
        on_cancels(news);
}

void member::release_votes() {
    election_.release_own_vote();
    // Only this candidacy is released: the message may arrive late, when there is a newer one.
    peer_request request;
    request.kind = request_kind::release;
    request.from = settings_.node;
    request.candidacy = election_.candidacy();
    auto body = wire::encode_peer_message(encode(request));
    // Without captures: the coroutines outlive this function and its lambda.
    auto send = [](net::client &client, std::string message) -> awaitable<void> {
        co_await client.call("POST", peer_path, std::move(message), c::peer_timeout, true);
    };
    for (auto &link : peers_)
        net::spawn(io_, send(*link->client, body), "release");
}

} // namespace spindlecroft::membership
