#include "membership/member.hpp"
#include "constants.hpp"
#include "store/keys.hpp"
#include <boost/random/uniform_real_distribution.hpp>
#include <fmt/format.h>
#include <random>

namespace spindlecroft::membership {

namespace c = constants;
using net::awaitable;
using net::steady_now;

member::member(net::asio::io_context &io, const settings::settings &s,
               store::key_value_client &state)
    : io_(io), settings_(s), state_(state), random_(std::random_device()()),
      incarnation_(fmt::format("{}#{:08x}", s.node, random_())),
      votes_given_(steady_now(), s.members.empty() ? seconds{0}
                                                   : c::vote_length * (1 + 2 * c::clock_drift) +
                                                         c::authority_margin),
      authority_(s.node, s.members.size() + 1),
      cancels_(incarnation_, c::cancels_kept, c::cancels_per_answer), wake_(io) {
    for (auto &m : s.members) {
        auto p = std::make_unique<peer_state>();
        p->name = m.name;
        p->client = std::make_unique<net::client>(io, m.back, c::pool_idle);
        peers_.push_back(std::move(p));
    }
}

net::client *member::peer(const std::string &name) {
    for (auto &p : peers_)
        if (p->name == name)
            return p->client.get();
    return nullptr;
}

bool member::leading() const {
    return leader_ && authority_.valid(steady_now());
}

std::string member::leader_hint() const {
    if (leading())
        return settings_.node;
    if (!elapsed(hint_at_, c::vote_length, steady_now()))
        return hint_;
    return key_holder_ == settings_.node ? std::string() : key_holder_;
}

void member::step_down(const char *why) {
    if (!leader_ || stepped_down_)
        return;
    spdlog::warn("giving up leadership: {}", why);
    stepped_down_ = true;
    wake_.notify();
}

void member::stop() {
    stopping_ = true;
    wake_.notify();
}

time_point member::cancels_known_until() const {
    std::vector<const cancel_reader *> readers;
    for (auto &p : peers_)
        readers.push_back(&p->cancels);
    return membership::cancels_known_until(steady_now(), records().fresh_at, readers);
}

bool member::state_served_elsewhere() const {
    for (auto &p : peers_)
        if (p->state_ok && !elapsed(p->heard_at, seconds{3}, steady_now()))
            return true;
    return false;
}

bool member::alone_for(seconds length) const {
    for (auto &p : peers_)
        if (!elapsed(p->heard_at, length, steady_now()))
            return false;
    return !peers_.empty();
}

// --- messages between controllers ---

std::string member::on_message(const std::string &body) {
    auto m = wire::parse_peer(body);
    auto now = steady_now();
    auto from = m.text("from"), as = m.text("as");
    auto kind = m.text("kind");
    wire::peer_message out;
    if (kind == "release") {
        votes_given_.release(as);
    } else if (kind == "promise") {
        bool granted =
            votes_given_.grant(as, seconds{static_cast<double>(m.number("ms")) / 1000.0}, now);
        out.numbers["granted"] = granted;
        if (granted && m.text("role") == "leader") {
            hint_ = from;
            hint_at_ = now;
        }
        if (!granted && m.text("role") == "leader" && !votes_given_.in_blackout(now))
            spdlog::debug("no promise to {}: given to {}", as, votes_given_.holder(now));
    }
    // A leader without the key-value store, or its workers, asks whether another could be chosen:
    // this controller must know by the next question whether the key-value store answers it.
    if (m.number("wants_word") && now - records().fresh_at > c::leader_renew)
        want_read();
    out.numbers["state_ok"] = state_.serving(now);
    auto heartbeat_age = last_heartbeat_ ? now - *last_heartbeat_ : seconds::max();
    out.numbers["reports_age_ms"] =
        static_cast<std::uint64_t>(std::min(1e6, heartbeat_age.count() * 1000));
    if (m.texts.count("cancels_run"))
        answer_cancels(m, out, now);
    out.texts["holder"] = votes_given_.holder(now);
    for (auto &p : peers_)
        if (p->name == from) {
            p->heard_at = now;
            if (m.numbers.count("state_ok"))
                p->state_ok = m.number("state_ok") != 0;
        }
    return wire::encode_peer(out);
}

awaitable<void> member::ask(peer_state &p, seconds length, bool candidate) {
    if (p.busy)
        co_return;
    p.busy = true;
    auto candidacy = candidacy_;
    wire::peer_message m;
    m.texts = {{"kind", "promise"},
               {"from", settings_.node},
               {"as", candidacy_},
               {"role", candidate ? "candidate" : "leader"}};
    m.numbers["state_ok"] = state_.serving(steady_now());
    m.numbers["ms"] = static_cast<std::uint64_t>(length.count() * 1000);
    auto question = p.cancels.question(records().revision);
    if (!candidate) {
        auto now = steady_now();
        m.numbers["wants_word"] = !state_.serving(now) || !last_heartbeat_ ||
                                  now - *last_heartbeat_ > c::step_down_unheard / 2;
        m.texts["cancels_run"] = question.incarnation;
        m.numbers["cancels_after"] = question.after;
        m.numbers["cancels_revision"] = question.revision;
    }
    auto sent = steady_now();
    // Guards against a leader that stood still and then binds the others' votes to itself.
    net::permission permitted = [this, candidacy, candidate] {
        return candidacy == candidacy_ && (candidate || authority_.valid(steady_now()));
    };
    auto r = co_await p.client->call("POST", "/member", wire::encode_peer(m), c::peer_timeout, true,
                                     std::move(permitted));
    p.busy = false;
    if (!r.ok())
        co_return;
    try {
        auto a = wire::parse_peer(r.body);
        p.heard_at = steady_now();
        p.state_ok = a.number("state_ok") != 0;
        p.heartbeat_age =
            seconds{static_cast<double>(a.number("reports_age_ms", 1000000)) / 1000.0};
        // A vote to an earlier candidacy doesn't count, and none revives a leader that lapsed.
        if (a.number("granted") && candidacy == candidacy_ &&
            (candidate || authority_.valid(steady_now())))
            authority_.vote_granted(p.name, sent, length);
        wake_.notify();
        if (!candidate)
            take_cancels(p, question, a, sent);
        p.complaint.clear();
    } catch (const wire::malformed_message &e) {
        if (p.complaint != e.what()) // once, not each round
            spdlog::warn("{}: {}: counts as not heard", p.name, e.what());
        p.complaint = e.what();
    }
}

void member::answer_cancels(const wire::peer_message &question, wire::peer_message &out,
                            time_point now) {
    auto view = records();
    cancel_question q{question.text("cancels_run"), question.number("cancels_after"),
                      question.number("cancels_revision")};
    cancels_.forget_upto(q.revision);
    auto a = cancels_.answer(q);
    out.texts["cancels_run"] = a.incarnation;
    out.numbers["cancels_after"] = a.after;
    out.numbers["cancels_upto"] = a.upto;
    out.numbers["cancels_newest"] = a.newest;
    out.numbers["cancels_given_up"] = a.given_up;
    out.numbers["loaded"] = view.loaded;
    out.numbers["read_age_ms"] =
        static_cast<std::uint64_t>(std::min(1e9, (now - view.fresh_at).count() * 1000) + 1);
    out.cancels = std::move(a.entries);
}

void member::take_cancels(peer_state &p, const cancel_question &q, const wire::peer_message &m,
                          time_point sent) {
    cancel_answer a;
    a.incarnation = m.text("cancels_run");
    a.after = m.number("cancels_after");
    a.upto = m.number("cancels_upto");
    a.newest = m.number("cancels_newest");
    a.given_up = m.number("cancels_given_up", ~0ull);
    a.loaded = m.number("loaded") != 0;
    a.read_age = seconds{static_cast<double>(m.number("read_age_ms", 1000000000)) / 1000.0};
    a.entries = m.cancels;
    auto news = p.cancels.take(q, a, sent);
    // They stay known here too: this controller may be asked by the next leader.
    for (auto &n : news)
        cancels_.note(n);
    if (!news.empty() && leader_ && on_cancels)
        on_cancels(news);
}

awaitable<void> member::release_all() {
    // Only this candidacy is released: the message may arrive late, when there is a newer one.
    votes_given_.release(candidacy_);
    wire::peer_message m;
    m.texts = {{"kind", "release"}, {"from", settings_.node}, {"as", candidacy_}};
    auto body = wire::encode_peer(m);
    for (auto &p : peers_)
        net::spawn(
            io_,
            [](net::client &client, std::string body) -> awaitable<void> {
                co_await client.call("POST", "/member", std::move(body), c::peer_timeout, true);
            }(*p->client, body),
            "release");
    co_return;
}

// --- duties ---

awaitable<void> member::run() {
    while (!stopping_) {
        co_await follow();
        if (stopping_)
            co_return;
        co_await campaign();
        if (leader_)
            co_await lead();
    }
}

// Returns when the leader key is free and this controller may stand.
awaitable<void> member::follow() {
    std::optional<std::uint64_t> since;
    while (!stopping_) {
        auto now = steady_now();
        if (!since) {
            auto i = co_await state_.get(store::keys::leader, store::request_priority::leadership);
            if (!i) {
                co_await wake_.wait_for(c::state_retry);
                continue;
            }
            if (!i->found) {
                key_holder_.clear();
                now = steady_now();
                if (now < no_campaign_until_ || votes_given_.in_blackout(now)) {
                    co_await wake_.wait_for(seconds{0.2});
                    continue;
                }
                // Spread those who saw the same end; whoever promised to another waits longer.
                boost::random::uniform_real_distribution<double> jitter(
                    0, c::candidacy_jitter.count());
                auto holder = votes_given_.holder(now);
                co_await net::sleep_for(holder.empty() || holder == candidacy_
                                            ? seconds{jitter(random_)}
                                            : seconds{0.2 + jitter(random_)});
                co_return;
            }
            try {
                key_holder_ = wire::parse_leader(i->item.value).node;
            } catch (const wire::malformed_message &) {
                key_holder_.clear();
            }
            since = i->item.version;
        }
        auto watched = co_await state_.watch(store::keys::leader, *since, c::watch_hold_ms,
                                             store::request_priority::leadership);
        bool answered = watched.outcome == store::watch_outcome::changes;
        if (!answered || !watched.changes.items.empty())
            since.reset();
        else
            since = std::max(*since, watched.changes.revision);
        if (!answered)
            co_await wake_.wait_for(c::state_retry);
    }
}

awaitable<void> member::campaign() {
    authority_.clear();
    candidacy_ = fmt::format("{}#{}", incarnation_, ++campaigns_);
    auto now = steady_now();
    if (!votes_given_.grant(candidacy_, c::candidacy, now))
        co_return;
    authority_.vote_granted(settings_.node, now, c::candidacy);
    for (auto &p : peers_)
        net::spawn(io_, ask(*p, c::candidacy, true), "ask " + p->name);
    auto limit = now + c::peer_timeout;
    while (!authority_.majority(steady_now()) && steady_now() < limit)
        co_await wake_.wait_for(std::max(seconds{0.01}, limit - steady_now()));
    if (!authority_.majority(steady_now())) {
        authority_.clear();
        co_await release_all();
        boost::random::uniform_real_distribution<double> pause(0.1, 0.4);
        co_await net::sleep_for(seconds{pause(random_)});
        co_return;
    }
    auto lease_sent = steady_now();
    auto lease = co_await state_.new_lease(c::leader_lease);
    if (!lease) {
        authority_.clear();
        co_await release_all();
        co_return;
    }
    raises_ = 0;
    auto value = wire::encode_leader({settings_.node, incarnation_, 0});
    std::vector<txn_condition> when{{store::keys::leader, 0}};
    std::vector<txn_op> ops{{store::keys::leader, value, *lease}};
    net::permission permitted = [this] { return authority_.majority(steady_now()); };
    auto t = co_await state_.commit(when, ops, store::request_priority::leadership,
                                    std::move(permitted));
    std::uint64_t version = 0;
    if (t.outcome == store::transaction_outcome::committed) {
        version = t.revision;
    } else if (t.outcome == store::transaction_outcome::unknown) {
        // It may have been executed, or may yet be; only our own key counts.
        auto i = co_await state_.get(store::keys::leader, store::request_priority::leadership);
        if (i && i->found && i->item.lease == *lease)
            version = i->item.version;
    }
    now = steady_now();
    // The votes must still hold now that the key is ours: else the former leader may have got
    // them back in between.
    if (!version || !authority_.majority(now)) {
        authority_.clear();
        net::spawn(io_, state_.end_lease(*lease), "end lease");
        co_await release_all();
        co_return;
    }
    lease_ = *lease;
    token_ = version;
    authority_.lease_renewed(lease_sent, c::leader_lease);
    votes_given_.grant(candidacy_, c::vote_length, now);
    authority_.vote_granted(settings_.node, now, c::vote_length);
    leader_ = true;
    stepped_down_ = false;
    raise_wanted_ = check_wanted_ = false;
    key_holder_ = settings_.node;
    state_.leading(true);
    spdlog::info("leading with token {}", token_);
    if (on_elected)
        on_elected();
}

awaitable<void> member::renew_lease() {
    if (renewing_)
        co_return;
    renewing_ = true;
    auto sent = steady_now();
    auto lease = lease_;
    auto r = co_await state_.renew(lease);
    renewing_ = false;
    if (!leader_ || lease != lease_)
        co_return;
    if (r == store::lease_renewal::renewed)
        authority_.lease_renewed(sent, c::leader_lease);
    else if (r == store::lease_renewal::ended) {
        // The key is gone and with it every write: others may stand as soon as votes end.
        authority_.lease_ended();
        step_down("its lease at the state service ended");
    }
}

awaitable<void> member::raise() {
    if (raising_)
        co_return;
    raising_ = true;
    auto value = wire::encode_leader({settings_.node, incarnation_, raises_ + 1});
    std::vector<txn_condition> when{{store::keys::leader, token_}};
    std::vector<txn_op> ops{{store::keys::leader, value, lease_}};
    net::permission permitted = [this] { return leading(); };
    auto t = co_await state_.commit(when, ops, store::request_priority::leadership,
                                    std::move(permitted));
    std::uint64_t version = 0;
    if (t.outcome == store::transaction_outcome::committed) {
        version = t.revision; // its condition held, so nothing raised the token meanwhile
    } else if (t.outcome == store::transaction_outcome::unknown ||
               t.outcome == store::transaction_outcome::conflict) {
        auto i = co_await state_.get(store::keys::leader, store::request_priority::leadership);
        if (i && i->found && i->item.lease == lease_)
            version = i->item.version;
    }
    raising_ = false;
    take_token(version);
}

void member::take_token(std::uint64_t version) {
    if (version <= token_ || !leader_)
        return;
    token_ = version;
    ++raises_;
    spdlog::debug("token raised to {}", token_);
    if (on_token)
        on_token(token_);
}

// Guards against a leader that can write nothing any more and keeps leading: a raise without an
// answer may be executed after the key was read, and the token then lags behind the key for ever.
awaitable<void> member::check_key() {
    if (raising_)
        co_return;
    raising_ = true;
    auto lease = lease_;
    auto i = co_await state_.get(store::keys::leader, store::request_priority::leadership);
    raising_ = false;
    if (!i || !leader_ || lease != lease_)
        co_return;
    if (i->found && i->item.lease == lease_)
        take_token(i->item.version);
    else
        step_down("the leader key is not ours any more");
}

// A leader cut from the key-value store or the workers steps down to a controller that is not.
bool member::better_elsewhere(time_point now) {
    // Guards against an outage without a leader: only a controller that the key-value store answers
    // can be chosen, and its word must be fresh, for the service may by now be gone for all.
    auto blind = state_.silence(now);
    bool deaf = last_heartbeat_ && now - *last_heartbeat_ > c::step_down_unheard;
    for (auto &p : peers_) {
        if (!p->heard_at || now - *p->heard_at > c::fresh_word || !p->state_ok)
            continue;
        if (blind > c::step_down_store_silence)
            return true;
        if (deaf && p->heartbeat_age && *p->heartbeat_age < seconds{3})
            return true;
    }
    return false;
}

awaitable<void> member::lead() {
    time_point next_round{};
    last_heartbeat_ = steady_now();
    while (!stopping_ && !stepped_down_) {
        auto now = steady_now();
        if (!authority_.valid(now)) {
            spdlog::warn("leadership lapsed");
            break;
        }
        if (now >= next_round) {
            next_round = now + c::leader_renew;
            net::spawn(io_, renew_lease(), "renew");
            if (votes_given_.grant(candidacy_, c::vote_length, now))
                authority_.vote_granted(settings_.node, now, c::vote_length);
            for (auto &p : peers_)
                net::spawn(io_, ask(*p, c::vote_length, false), "ask " + p->name);
        }
        if (better_elsewhere(now)) {
            no_campaign_until_ = now + c::step_down_pause;
            step_down("another controller is better placed");
            break;
        }
        if (check_wanted_ && !raising_) {
            check_wanted_ = false;
            net::spawn(io_, check_key(), "check key");
        }
        if (raise_wanted_ && !raising_) {
            raise_wanted_ = false;
            net::spawn(io_, raise(), "raise");
        }
        co_await wake_.wait_for(
            std::max(seconds{0.01}, std::min(next_round - steady_now(), seconds{0.1})));
    }
    leader_ = false;
    authority_.clear();
    state_.leading(false);
    if (on_deposed)
        on_deposed();
    net::spawn(io_, state_.end_lease(lease_), "end lease");
    co_await release_all();
    co_await net::sleep_for(seconds{0.1});
}

} // namespace spindlecroft::membership
