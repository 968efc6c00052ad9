// The states of an election: follower, candidate, leader. member_messages.cpp has the messages.
#include "membership/member.hpp"
#include "constants.hpp"
#include <algorithm>
#include <boost/random/uniform_real_distribution.hpp>
#include <fmt/format.h>
#include <random>

namespace spindlecroft::membership {

namespace c = constants;
using net::awaitable;
using net::steady_now;
using uniform_distribution = boost::random::uniform_real_distribution<double>;

static std::vector<std::string> peer_names(const settings::settings &settings) {
    std::vector<std::string> names;
    for (auto &peer : settings.peers)
        names.push_back(peer.name);
    return names;
}

member::member(net::asio::io_context &io, const settings::settings &settings,
               store::key_value_client &store)
    : io_(io), settings_(settings), store_(store), random_(std::random_device()()),
      incarnation_(fmt::format("{}#{:08x}", settings.node, random_())),
      election_(settings.node, incarnation_, peer_names(settings), steady_now()),
      leader_key_(store, settings.node, incarnation_),
      cancel_log_(incarnation_, c::max_kept_cancels, c::max_cancels_per_answer),
      state_changed_(io) {
    for (auto &peer : settings.peers) {
        auto link = std::make_unique<peer_link>();
        link->name = peer.name;
        link->client =
            std::make_unique<net::client>(io, peer.peer_address, c::max_idle_connections_per_host);
        peers_.push_back(std::move(link));
    }
}

net::client *member::peer_client(const std::string &name) {
    for (auto &peer : peers_)
        if (peer->name == name)
            return peer->client.get();
    return nullptr;
}

bool member::is_leading() const {
    return election_.is_leading(steady_now());
}

std::string member::leader_hint() const {
    return election_.leader_hint(steady_now());
}

bool member::store_reachable_elsewhere() const {
    return election_.store_reachable_elsewhere(steady_now());
}

bool member::is_isolated_for(seconds duration) const {
    return election_.is_isolated_for(duration, steady_now());
}

void member::step_down(const char *reason) {
    if (!election_.step_down())
        return;
    spdlog::warn("stepping down as leader: {}", reason);
    state_changed_.notify();
}

void member::request_leader_key_check() {
    election_.request_key_check();
    state_changed_.notify();
}

void member::stop() {
    stopping_ = true;
    state_changed_.notify();
}

awaitable<void> member::run() {
    while (!stopping_) {
        co_await run_follower();
        if (stopping_)
            co_return;
        co_await run_campaign();
        if (election_.is_elected())
            co_await run_leader();
    }
}

// --- a follower ---

// Returns when the leader key is free and this controller may campaign.
awaitable<void> member::run_follower() {
    // Store revision up to which the leader key is known to exist; nothing: it has to be read.
    std::optional<std::uint64_t> known_revision;
    while (!stopping_) {
        if (!known_revision) {
            auto key = co_await leader_key_.read();
            if (!key) {
                co_await state_changed_.wait_for(c::key_value_retry_delay);
                continue;
            }
            election_.on_leader_key(key->node);
            if (!key->found) {
                if (co_await wait_before_campaign())
                    co_return;
                continue;
            }
            known_revision = key->version;
        }
        auto change = co_await leader_key_.watch(*known_revision);
        if (!change || change->changed)
            known_revision.reset();
        else
            known_revision = std::max(*known_revision, change->watched_through_revision);
        if (!change)
            co_await state_changed_.wait_for(c::key_value_retry_delay);
    }
}

// Returns false, after a pause, if this controller may not campaign yet.
awaitable<bool> member::wait_before_campaign() {
    auto now = steady_now();
    if (!election_.may_campaign(now)) {
        co_await state_changed_.wait_for(c::campaign_check_interval);
        co_return false;
    }
    // The jitter spreads controllers that saw the leader key disappear at the same time; one that
    // voted for another candidate waits longer.
    uniform_distribution jitter(0, c::candidacy_jitter.count());
    bool is_yielding = election_.has_voted_for_another(now);
    co_await net::sleep_for(is_yielding
                                ? seconds{c::candidacy_yield_delay.count() + jitter(random_)}
                                : seconds{jitter(random_)});
    co_return true;
}

// --- a candidate ---

awaitable<void> member::run_campaign() {
    if (!co_await gather_votes())
        co_return;
    auto key = co_await acquire_leader_key();
    if (!key)
        co_return;
    // The votes must still be valid once the key is acquired: otherwise the former leader may have
    // got them back in between.
    auto now = steady_now();
    if (key->version == 0 || !election_.has_majority(now)) {
        election_.abandon_campaign();
        net::spawn(io_, store_.revoke_lease(key->lease), "lease release");
        release_votes();
        co_return;
    }
    election_.become_leader(*key, now);
    store_.set_leading(true);
    spdlog::info("elected leader with fencing token {}", election_.token());
    if (on_elected)
        on_elected();
}

// Requests the votes of all controllers. Returns whether a majority was granted.
awaitable<bool> member::gather_votes() {
    auto now = steady_now();
    if (!election_.start_campaign(now))
        co_return false;
    request_votes(requester_role::candidate, c::candidate_vote_duration);
    auto limit = now + c::peer_timeout;
    while (!election_.has_majority(steady_now()) && steady_now() < limit)
        co_await state_changed_.wait_for(std::max(c::min_wait, limit - steady_now()));
    if (election_.has_majority(steady_now()))
        co_return true;
    abandon_campaign();
    uniform_distribution pause(c::min_campaign_pause.count(), c::max_campaign_pause.count());
    co_await net::sleep_for(seconds{pause(random_)});
    co_return false;
}

// Returns nothing if no lease could be created to bind the key to. Version 0: the key is not known
// to belong to this controller.
awaitable<std::optional<acquired_leader_key>> member::acquire_leader_key() {
    auto lease_requested_at = steady_now();
    auto lease = co_await store_.create_lease(c::leader_lease_duration);
    if (!lease) {
        abandon_campaign();
        co_return std::nullopt;
    }
    net::permission permitted = [this] { return election_.has_majority(steady_now()); };
    auto version = co_await leader_key_.acquire(*lease, std::move(permitted));
    co_return acquired_leader_key{version.value_or(0), *lease, lease_requested_at};
}

void member::abandon_campaign() {
    election_.abandon_campaign();
    release_votes();
}

// --- a leader ---

awaitable<void> member::run_leader() {
    // Workers sent their heartbeats to the former leader until now, so their silence is counted
    // from here.
    election_.on_heartbeat(steady_now());
    while (!stopping_ && election_.state() == election_state::leader) {
        auto now = steady_now();
        if (!election_.is_leading(now)) {
            spdlog::warn(
                "leadership expired: neither the leader lease nor a majority of votes is valid");
            break;
        }
        if (!run_leader_round(now))
            break;
        co_await state_changed_.wait_for(
            std::max(c::min_wait,
                     std::min(election_.next_renewal() - steady_now(), c::leader_poll_interval)));
    }
    end_leadership();
    co_await net::sleep_for(c::leader_key_check_delay);
}

// Runs one round of the leader's work. Requests to other controllers run in coroutines of their
// own, so that one that hangs does not delay the rest. Returns false if this controller steps down
// for another.
bool member::run_leader_round(time_point now) {
    if (election_.take_due_renewal(now)) {
        net::spawn(io_, renew_lease(), "lease renewal");
        election_.renew_own_vote(now);
        request_votes(requester_role::leader, c::leader_vote_duration);
    }
    if (election_.is_better_leader_available(store_.time_since_last_reply(now), now)) {
        election_.pause_campaigns(now);
        step_down("another controller is better connected to the key-value store or the workers");
        return false;
    }
    if (election_.take_key_check_request())
        net::spawn(io_, check_leader_key(), "leader key check");
    if (election_.take_token_raise_request())
        net::spawn(io_, raise_token(), "token raise");
    return true;
}

void member::end_leadership() {
    election_.end_leadership();
    store_.set_leading(false);
    if (on_leadership_ended)
        on_leadership_ended();
    net::spawn(io_, store_.revoke_lease(election_.lease()), "lease release");
    release_votes();
}

awaitable<void> member::renew_lease() {
    if (renewing_lease_)
        co_return;
    renewing_lease_ = true;
    auto sent_at = steady_now();
    auto lease = election_.lease();
    auto result = co_await store_.renew_lease(lease);
    renewing_lease_ = false;
    if (!election_.is_elected() || lease != election_.lease())
        co_return;
    if (result == store::lease_renewal::renewed) {
        election_.on_lease_renewed(sent_at);
    } else if (result == store::lease_renewal::ended) {
        // The key was deleted with the lease, so no write can succeed: other controllers may
        // campaign as soon as the votes expire.
        election_.on_lease_ended();
        step_down("the leader lease in the key-value store ended");
    }
}

awaitable<void> member::raise_token() {
    if (!election_.start_key_operation())
        co_return;
    net::permission permitted = [this] { return is_leading(); };
    auto version = co_await leader_key_.raise_token(
        election_.token(), election_.lease(), election_.next_token_raise(), std::move(permitted));
    election_.end_key_operation();
    if (version)
        apply_token(*version);
}

// Prevents a leader that can't write any more from staying leader: a raise of unknown outcome may
// be executed after the key was read, and the token would then differ from the key's version
// permanently.
awaitable<void> member::check_leader_key() {
    if (!election_.start_key_operation())
        co_return;
    auto lease = election_.lease();
    auto key = co_await leader_key_.read();
    election_.end_key_operation();
    if (!key || !election_.is_elected() || lease != election_.lease())
        co_return;
    if (key->found && key->lease == lease)
        apply_token(key->version);
    else
        step_down("the leader key no longer belongs to this controller");
}

void member::apply_token(std::uint64_t version) {
    if (!election_.raise_token(version))
        return;
    spdlog::debug("fencing token raised to {}", election_.token());
    if (on_token_raised)
        on_token_raised(election_.token());
}

} // namespace spindlecroft::membership
