// This controller as a member of the cluster of controllers: it sends and receives what the
// election, the leader key and the exchange of cancels ask for. What to do is decided there.
#pragma once
#include "common/time.hpp"
#include "membership/cancel_exchange.hpp"
#include "membership/election.hpp"
#include "membership/leader_key.hpp"
#include "membership/peer_messages.hpp"
#include "net/http.hpp"
#include "settings/settings.hpp"
#include "store/key_value_client.hpp"
#include <boost/random/mersenne_twister.hpp>
#include <functional>
#include <memory>

namespace spindlecroft::membership {

class member {
  public:
    member(net::asio::io_context &io, const settings::settings &settings,
           store::key_value_client &store);

    // Runs until stop(): follows the leader key, campaigns when it is free, leads while entitled.
    net::awaitable<void> run();
    void stop();

    // Whether this controller may act as the leader. Checked right before every answer and command.
    [[nodiscard]] bool is_leading() const;
    // The fencing token of this leadership, or of the last one.
    [[nodiscard]] std::uint64_t token() const { return election_.token(); }
    // The node that heartbeats should go to, as far as known; empty: unknown.
    [[nodiscard]] std::string leader_hint() const;
    void step_down(const char *reason);
    // Raises the fencing token within this leadership.
    void request_token_raise() { election_.request_token_raise(); }
    // The leader key has another version than our token: it is read again.
    void request_leader_key_check();

    // Answers a message from another controller. Throws wire::malformed_message.
    [[nodiscard]] std::string handle_message(const std::string &body);
    // Another controller said of late that the key-value store answers it.
    [[nodiscard]] bool store_reachable_elsewhere() const;
    // No other controller was heard from for so long, though there are others.
    [[nodiscard]] bool is_isolated_for(seconds length) const;
    // A cancel is durable; noted before any user is told.
    void add_cancel(const cancel_notice &notice) { cancel_log_.append(notice); }
    // The time up to which no controller can have told a user of a cancel that is not known here.
    [[nodiscard]] time_point cancels_complete_until() const;
    // A worker's heartbeat arrived.
    void on_heartbeat() { election_.on_heartbeat(net::steady_now()); }

    // What this controller has read of the jobs' records.
    struct records_status {
        bool loaded = false;
        std::uint64_t revision = 0;
        time_point fresh_at = time_point::min(); // all that was durable then is known
    };
    std::function<records_status()> get_records_status;
    std::function<void()> request_records_read;
    // Cancels that another controller told of, while this one leads.
    std::function<void(const std::vector<cancel_notice> &)> on_cancels;
    std::function<void()> on_elected; // the token is set
    std::function<void()> on_leadership_ended;
    std::function<void(std::uint64_t)> on_token_raised;
    // The client of another controller, for other exchanges; null: there is none of that name.
    net::client *peer_client(const std::string &name);

  private:
    // Another controller.
    struct peer_link {
        std::string name;
        std::unique_ptr<net::client> client;
        cancel_log_reader cancel_reader;
        bool request_pending = false; // a request to it is under way
        std::string last_error;       // guards against one log line a round
    };

    // --- member.cpp: the stages of an election ---
    net::awaitable<void> run_follower();
    net::awaitable<bool> wait_before_campaign();
    net::awaitable<void> run_campaign();
    net::awaitable<bool> gather_votes();
    net::awaitable<std::optional<acquired_leader_key>> acquire_leader_key();
    void abandon_campaign();
    net::awaitable<void> run_leader();
    [[nodiscard]] bool run_leader_round(time_point now);
    void end_leadership();
    net::awaitable<void> renew_lease();
    net::awaitable<void> raise_token();
    net::awaitable<void> check_leader_key();
    void apply_token(std::uint64_t version);

    // --- member_messages.cpp: messages between controllers ---
    void request_votes(requester_role role, seconds vote_length);
    net::awaitable<void> request_vote(peer_link &link, requester_role role, seconds vote_length);
    [[nodiscard]] peer_request make_vote_request(const peer_link &link, requester_role role,
                                                 seconds vote_length) const;
    void handle_response(peer_link &link, const peer_request &request, const std::string &body,
                         time_point sent_at);
    void handle_cancels(peer_link &link, const cancel_log_request &question,
                        const cancel_log_response &answer, time_point sent_at);
    [[nodiscard]] cancel_log_response make_cancel_log_response(const cancel_log_request &question,
                                                               time_point now);
    void release_votes();

    net::asio::io_context &io_;
    const settings::settings &settings_;
    store::key_value_client &store_;
    boost::random::mt19937 random_;
    std::string incarnation_; // names this run of this controller
    election election_;
    leader_key leader_key_;
    std::vector<std::unique_ptr<peer_link>> peers_;
    bool stopping_ = false;
    bool renewing_lease_ = false;
    cancel_log cancel_log_;
    net::signal state_changed_;
};

} // namespace spindlecroft::membership
