// This controller as a member of the cluster of controllers: performs the I/O that the election,
// the leader key and the exchange of cancellation notices ask for. Decisions are made in those
// classes.
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

/// Takes part in the election, and exchanges votes and cancellation notices with the other
/// controllers.
class member {
  public:
    member(net::asio::io_context &io, const settings::settings &settings,
           store::key_value_client &store);

    /// Runs until stop(): watches the leader key as a follower, campaigns when the key is free, and
    /// leads while it has the authority to.
    net::awaitable<void> run();
    void stop();

    /// Returns whether this controller may act as the leader. To be checked right before every
    /// response and command.
    [[nodiscard]] bool is_leading() const;
    /// The fencing token of this leadership, or of the last one.
    [[nodiscard]] std::uint64_t token() const { return election_.token(); }
    /// The node that workers should send heartbeats to; empty: unknown.
    [[nodiscard]] std::string leader_hint() const;
    /// Gives up the leadership, if this controller leads. The reason is logged.
    void step_down(const char *reason);
    /// Asks for a raise of the fencing token within this leadership.
    void request_token_raise() { election_.request_token_raise(); }
    /// Asks for a read of the leader key, whose version differs from this controller's token.
    void request_leader_key_check();

    /// Handles a message from another controller and returns the response. Throws
    /// wire::malformed_message.
    [[nodiscard]] std::string handle_message(const std::string &body);
    /// Returns whether another controller has recently reported that the key-value store answers
    /// it.
    [[nodiscard]] bool store_reachable_elsewhere() const;
    /// Returns whether there are other controllers and none of them has sent a message for this
    /// long.
    [[nodiscard]] bool is_isolated_for(seconds duration) const;
    /// Adds a durable cancellation to this controller's log. To be called before the user gets the
    /// response.
    void add_cancel(const cancel_notice &notice) { cancel_log_.append(notice); }
    /// The time up to which every cancellation that any controller can have confirmed to a user is
    /// known here.
    [[nodiscard]] time_point cancels_complete_until() const;
    /// Records the arrival of a worker's heartbeat.
    void on_heartbeat() { election_.on_heartbeat(net::steady_now()); }

    /// How far this controller has read the job records.
    struct records_status {
        bool loaded = false;
        std::uint64_t revision = 0;
        time_point fresh_at = time_point::min(); // every record that was durable then has been read
    };
    /// Returns the current status; to be set before run().
    std::function<records_status()> get_records_status;
    /// Called to start a read of the job records.
    std::function<void()> request_records_read;
    /// Called, while this controller leads, with cancellations that another controller confirmed.
    std::function<void(const std::vector<cancel_notice> &)> on_cancels;
    std::function<void()> on_elected; // called once the token is set
    std::function<void()> on_leadership_ended;
    /// Called with the new fencing token.
    std::function<void(std::uint64_t)> on_token_raised;
    /// Returns the client of another controller, for messages other than votes; null: there is no
    /// controller of that name.
    net::client *peer_client(const std::string &name);

  private:
    /// Another controller, and the state of the exchange with it.
    struct peer_link {
        std::string name;
        std::unique_ptr<net::client> client;
        cancel_log_reader cancel_reader;
        bool request_pending = false; // a request is in progress
        std::string last_error; // last logged protocol error; each is logged once, not every round
    };

    // --- member.cpp: the states of an election ---
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
    void request_votes(requester_role role, seconds vote_duration);
    net::awaitable<void> request_vote(peer_link &peer, requester_role role, seconds vote_duration);
    [[nodiscard]] peer_request make_vote_request(const peer_link &peer, requester_role role,
                                                 seconds vote_duration) const;
    void handle_response(peer_link &peer, const peer_request &request, const std::string &body,
                         time_point sent_at);
    void handle_cancels(peer_link &peer, const cancel_log_request &request,
                        const cancel_log_response &response, time_point sent_at);
    [[nodiscard]] cancel_log_response make_cancel_log_response(const cancel_log_request &request,
                                                               time_point now);
    void release_votes();

    net::asio::io_context &io_;
    const settings::settings &settings_;
    store::key_value_client &store_;
    boost::random::mt19937 random_;
    std::string incarnation_; // identifies this process among all runs of this controller
    election election_;
    leader_key leader_key_;
    std::vector<std::unique_ptr<peer_link>> peers_;
    bool stopping_ = false;
    bool renewing_lease_ = false;
    cancel_log cancel_log_;
    net::signal state_changed_;
};

} // namespace spindlecroft::membership
