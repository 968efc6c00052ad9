// The messages of class member: votes and cancels that controllers ask each other for.
#include "constants.hpp"
#include "membership/member.hpp"

namespace spindlecroft::membership {

namespace c = constants;
using net::awaitable;
using net::steady_now;

static constexpr const char *peer_path = "/member";

time_point member::cancels_known_until() const {
    std::vector<const cancel_reader *> readers;
    for (auto &link : peers_)
        readers.push_back(&link->cancels);
    return membership::cancels_known_until(steady_now(), records().fresh_at, readers);
}

// --- requests of others ---

std::string member::on_message(const std::string &body) {
    auto request = decode_request(wire::parse_peer(body));
    auto now = steady_now();
    vote_answer answer;
    answer.granted = election_.on_request(request, now);
    if (answer.granted == false && request.role == requester_role::leader &&
        !election_.in_blackout(now))
        spdlog::debug("no promise to {}: given to {}", request.candidacy,
                      election_.vote_holder(now));
    // A leader without the key-value store, or its workers, asks whether another could be elected:
    // this controller must know by the next request whether the key-value store answers it.
    if (request.wants_store_check.value_or(false) && now - records().fresh_at > c::leader_renew)
        want_read();
    answer.store_serving = store_.is_available(now);
    answer.heartbeat_age = election_.heartbeat_age(now);
    if (request.cancels)
        answer.cancels = answer_cancels(*request.cancels, now);
    answer.vote_holder = election_.vote_holder(now);
    return wire::encode_peer(encode(answer));
}

cancel_answer member::answer_cancels(const cancel_question &question, time_point now) {
    auto view = records();
    cancels_.forget_upto(question.revision);
    auto answer = cancels_.answer(question);
    answer.loaded = view.loaded;
    answer.read_age = now - view.fresh_at;
    return answer;
}

// --- requests to others ---

void member::ask_all(requester_role role, seconds vote_length) {
    for (auto &link : peers_)
        net::spawn(io_, ask(*link, role, vote_length), "ask " + link->name);
}

awaitable<void> member::ask(peer_link &link, requester_role role, seconds vote_length) {
    if (link.asking)
        co_return;
    link.asking = true;
    auto request = vote_request(link, role, vote_length);
    auto sent_at = steady_now();
    net::permission permitted = [this, request] {
        return election_.is_current(request, steady_now());
    };
    auto body = wire::encode_peer(encode(request));
    auto reply = co_await link.client->call("POST", peer_path, std::move(body), c::peer_timeout,
                                            true, std::move(permitted));
    link.asking = false;
    if (!reply.ok())
        co_return;
    try {
        take_answer(link, request, reply.body, sent_at);
        link.last_complaint.clear();
    } catch (const wire::malformed_message &error) {
        if (link.last_complaint != error.what()) // once, not each round
            spdlog::warn("{}: {}: counts as not heard", link.name, error.what());
        link.last_complaint = error.what();
    }
}

peer_request member::vote_request(const peer_link &link, requester_role role,
                                  seconds vote_length) const {
    auto now = steady_now();
    peer_request request;
    request.kind = request_kind::vote;
    request.from = settings_.node;
    request.candidacy = election_.candidacy();
    request.role = role;
    request.vote_length = vote_length;
    request.store_serving = store_.is_available(now);
    if (role == requester_role::leader) {
        request.wants_store_check = !store_.is_available(now) || election_.lacks_heartbeats(now);
        request.cancels = link.cancels.question(records().revision);
    }
    return request;
}

// Throws wire::malformed_message; what was taken before stays.
void member::take_answer(peer_link &link, const peer_request &request, const std::string &body,
                         time_point sent_at) {
    auto message = wire::parse_peer(body);
    auto answer = decode_vote_answer(message);
    election_.on_answer(link.name, answer, steady_now());
    if (answer.granted.value_or(false))
        election_.on_vote(link.name, request, sent_at, steady_now());
    wake_.notify();
    if (request.cancels)
        take_cancels(link, *request.cancels, decode_cancel_answer(message), sent_at);
}

void member::take_cancels(peer_link &link, const cancel_question &question,
                          const cancel_answer &answer, time_point sent_at) {
    auto news = link.cancels.take(question, answer, sent_at);
    // They stay known here too: this controller may be asked by the next leader.
    for (auto &notice : news)
        cancels_.note(notice);
    if (!news.empty() && election_.elected() && on_cancels)
        on_cancels(news);
}

void member::release_votes() {
    election_.release_own_vote();
    // Only this candidacy is released: the message may arrive late, when there is a newer one.
    peer_request request;
    request.kind = request_kind::release;
    request.from = settings_.node;
    request.candidacy = election_.candidacy();
    auto body = wire::encode_peer(encode(request));
    // Without captures: the coroutines outlive this function and its lambda.
    auto send = [](net::client &client, std::string message) -> awaitable<void> {
        co_await client.call("POST", peer_path, std::move(message), c::peer_timeout, true);
    };
    for (auto &link : peers_)
        net::spawn(io_, send(*link->client, body), "release");
}

} // namespace spindlecroft::membership
