// This controller's part in choosing a leader: votes, the leader key, and standing for it.
#pragma once
#include "common/time.hpp"
#include "membership/cancel_exchange.hpp"
#include "membership/lease_votes.hpp"
#include "net/http.hpp"
#include "settings/settings.hpp"
#include "store/key_value_client.hpp"
#include <boost/random/mersenne_twister.hpp>
#include <functional>

namespace spindlecroft::membership {

class member {
  public:
    member(net::asio::io_context &io, const settings::settings &s, store::key_value_client &state);

    // The long-lived duty: follows the leader key, stands when it is free, leads while entitled.
    net::awaitable<void> run();
    void stop();

    // Checked right before every answer and order.
    bool leading() const;
    std::uint64_t token() const { return token_; }
    // Whom heartbeats should go to, as far as known; empty: unknown.
    std::string leader_hint() const;
    void step_down(const char *why);
    // Raises the token within this leadership.
    void want_raise() { raise_wanted_ = true; }
    // The leader key has another version than our token: it is read again.
    void want_check() {
        check_wanted_ = true;
        wake_.notify();
    }

    // A message from another controller.
    std::string on_message(const std::string &body);
    // Another controller said of late that the key-value store answers it.
    bool state_served_elsewhere() const;
    // No other controller was heard from for so long, though there are others.
    bool alone_for(seconds length) const;
    // A cancel is durable; noted before any user is told.
    void note_cancel(const cancel_notice &n) { cancels_.note(n); }
    // The time up to which no controller can have told a user of a cancel that is not known here.
    time_point cancels_known_until() const;
    void note_heartbeat() { last_heartbeat_ = net::steady_now(); }

    // What this controller has read of the jobs' records.
    struct records_view {
        bool loaded = false;
        std::uint64_t revision = 0;
        time_point fresh_at = time_point::min(); // all that was durable then is known
    };
    std::function<records_view()> records;
    std::function<void()> want_read;
    // Cancels that another controller told of, while this one leads.
    std::function<void(const std::vector<cancel_notice> &)> on_cancels;
    std::function<void()> on_elected; // the token is set
    std::function<void()> on_deposed;
    std::function<void(std::uint64_t)> on_token;
    // The other controllers, for other exchanges.
    net::client *peer(const std::string &name);

  private:
    struct peer_state {
        std::string name;
        std::unique_ptr<net::client> client;
        bool state_ok = false;
        std::optional<seconds> heartbeat_age; // since a worker last reported there
        std::optional<time_point> heard_at;
        cancel_reader cancels;
        bool busy = false;
        std::string complaint; // the last one that was logged
    };
    net::awaitable<void> follow();
    net::awaitable<void> campaign();
    net::awaitable<void> lead();
    net::awaitable<void> ask(peer_state &p, seconds length, bool candidate);
    net::awaitable<void> release_all();
    net::awaitable<void> renew_lease();
    net::awaitable<void> raise();
    net::awaitable<void> check_key();
    void take_token(std::uint64_t version);
    bool better_elsewhere(time_point now);
    void answer_cancels(const wire::peer_message &question, wire::peer_message &out,
                        time_point now);
    void take_cancels(peer_state &p, const cancel_question &q, const wire::peer_message &answer,
                      time_point sent);

    net::asio::io_context &io_;
    const settings::settings &settings_;
    store::key_value_client &state_;
    boost::random::mt19937 random_;
    std::string incarnation_; // this run of this controller
    std::string candidacy_;   // this candidacy of this run, and the leadership that follows
    std::uint64_t campaigns_ = 0;
    vote_ledger votes_given_;
    authority authority_;
    std::vector<std::unique_ptr<peer_state>> peers_;
    bool leader_ = false, stopping_ = false, stepped_down_ = false, raise_wanted_ = false;
    bool check_wanted_ = false;
    bool renewing_ = false, raising_ = false;
    std::uint64_t token_ = 0, lease_ = 0, raises_ = 0;
    std::string key_holder_; // node named by the leader key, as last read
    std::string hint_;       // node that asks for votes as leader
    std::optional<time_point> hint_at_;
    time_point no_campaign_until_{};
    std::optional<time_point> last_heartbeat_;
    cancel_log cancels_;
    net::signal wake_;
};

} // namespace spindlecroft::membership
