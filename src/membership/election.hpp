// The election of a leader as one controller takes part in it: a state machine without input or
// output. Time and news come in, decisions go out; class member carries them out.
//
//   follower -> candidate -> leader -> stepping_down -> follower
//
// A candidate that finds no majority, and a leader whose authority lapses, are followers again.
#pragma once
#include "common/time.hpp"
#include "membership/lease_votes.hpp"
#include "membership/peer_messages.hpp"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace spindlecroft::membership {

enum class election_state {
    follower,
    candidate,
    leader,
    stepping_down // elected, and on its way out; may act until the leadership is closed
};

// The leader key that a candidate has acquired.
struct acquired_leader_key {
    std::uint64_t version = 0;     // the fencing token
    std::uint64_t lease = 0;       // the key is bound to it
    time_point lease_requested_at; // when the lease was asked for
};

class election {
  public:
    // incarnation: names this run of this controller. peers: the names of all other controllers.
    election(std::string node, std::string incarnation, const std::vector<std::string> &peers,
             time_point started_at);

    [[nodiscard]] election_state state() const { return state_; }
    // Elected and not yet closed, whether or not its authority is still live.
    [[nodiscard]] bool is_elected() const;
    // Elected, and votes or lease are live: may act as the leader.
    [[nodiscard]] bool is_leading(time_point now) const;
    // The fencing token of this leadership, or of the last one.
    [[nodiscard]] std::uint64_t token() const { return token_; }
    // The lease that the leader key is, or was last, bound to.
    [[nodiscard]] std::uint64_t lease() const { return lease_; }
    // Names one candidacy of one run of one controller, and the leadership that follows from it.
    [[nodiscard]] const std::string &candidacy() const { return candidacy_; }
    // The node that workers should report to, as far as known; empty: unknown.
    [[nodiscard]] std::string leader_hint(time_point now) const;

    // --- news of the other controllers ---

    // A request for a vote is decided, a release is carried out. Returns whether the vote was
    // granted; nothing: no vote was asked for.
    std::optional<bool> on_request(const peer_request &request, time_point now);
    // What an answer says of the other controller's state; its vote is counted apart.
    void on_response(const std::string &peer, const vote_response &answer, time_point now);
    // Counts a vote that was asked for at sent_at, if it still counts.
    void on_vote_granted(const std::string &peer, const peer_request &request, time_point sent_at,
                         time_point now);
    // Whether a request of our own still counts: its candidacy is the present one and, if it is a
    // leader's, the leader has not lapsed. Guards against a leader that was suspended and then
    // binds the others' votes to itself.
    [[nodiscard]] bool is_current(const peer_request &request, time_point now) const;
    // The candidacy that this controller's vote is given to; empty: none.
    [[nodiscard]] std::string vote_holder(time_point now) const { return voter_.holder(now); }
    // After a start no vote is given until all that were given before it have ended.
    [[nodiscard]] bool in_blackout(time_point now) const { return voter_.in_blackout(now); }
    // Another controller said of late that the key-value store answers it.
    [[nodiscard]] bool store_reachable_elsewhere(time_point now) const;
    // No other controller was heard from for so long, though there are others.
    [[nodiscard]] bool is_isolated_for(seconds length, time_point now) const;

    // --- a follower ---

    // The leader key names this node; empty: nobody.
    void on_leader_key(const std::string &node) { key_holder_ = node; }
    [[nodiscard]] bool may_campaign(time_point now) const;
    // This controller's vote is given to another's candidacy, which goes first.
    [[nodiscard]] bool has_voted_for_another(time_point now) const;

    // --- a candidate ---

    // Begins a candidacy with this controller's own vote. false: that is given to another.
    [[nodiscard]] bool start_campaign(time_point now);
    [[nodiscard]] bool has_majority(time_point now) const { return authority_.has_majority(now); }
    void abandon_campaign();
    // The votes are a majority and the leader key is ours.
    void become_leader(const acquired_leader_key &key, time_point now);

    // --- a leader ---

    // Votes and lease are due to be renewed. Counts as done.
    [[nodiscard]] bool take_due_renewal(time_point now);
    [[nodiscard]] time_point next_renewal() const { return next_renewal_; }
    // Extends this controller's own vote to its leadership.
    void renew_own_vote(time_point now);
    void on_lease_renewed(time_point sent_at);
    void on_lease_ended() { authority_.on_lease_ended(); }
    // Whether the leader should give way to a controller that is better placed: it is cut off from
    // the key-value store, or from the workers, and another is not.
    // store_silence: since the key-value store last answered this controller.
    [[nodiscard]] bool is_better_leader_available(seconds store_silence, time_point now) const;
    // This controller is no candidate for a while.
    void pause_campaigns(time_point now);
    // Returns false if there is no leadership to give up, or it is being given up already.
    [[nodiscard]] bool step_down();
    // The leadership is closed: a follower again.
    void end_leadership();
    // Gives back this controller's own vote to the candidacy or leadership that ended.
    void release_own_vote() { voter_.release(candidacy_); }

    // --- the fencing token ---

    void request_token_raise() { token_raise_requested_ = true; }
    void request_key_check() { key_check_requested_ = true; }
    // A request that can be served now is handed out once.
    [[nodiscard]] bool take_token_raise_request();
    [[nodiscard]] bool take_key_check_request();
    // The leader key is read or raised by one operation at a time. false: one is under way.
    [[nodiscard]] bool start_key_operation();
    void end_key_operation() { key_operation_running_ = false; }
    // Number of the next raise within this leadership.
    [[nodiscard]] std::uint64_t next_token_raise() const { return token_raises_ + 1; }
    // Our leader key has this version. Returns whether the token rises with it.
    [[nodiscard]] bool raise_token(std::uint64_t version);

    // --- heartbeats of workers ---

    void on_heartbeat(time_point now) { last_heartbeat_ = now; }
    [[nodiscard]] std::optional<seconds> heartbeat_age(time_point now) const;
    // A leader without heartbeats for half the time after which it steps down, or without any.
    [[nodiscard]] bool lacks_heartbeats(time_point now) const;

  private:
    // What another controller said last.
    struct peer_status {
        std::optional<time_point> last_message_at;
        bool store_reachable = false;
        std::optional<seconds> heartbeat_age;
    };

    std::string node_;
    std::string incarnation_;
    election_state state_ = election_state::follower;
    voter voter_;
    leader_authority authority_;
    std::map<std::string, peer_status> peer_statuses_; // by the peer's name

    std::string candidacy_;
    std::uint64_t campaigns_ = 0;
    std::optional<time_point> campaigns_paused_until_;
    time_point next_renewal_{};

    std::uint64_t token_ = 0;
    std::uint64_t lease_ = 0;
    std::uint64_t token_raises_ = 0; // of the token within this leadership
    bool token_raise_requested_ = false;
    bool key_check_requested_ = false;
    bool key_operation_running_ = false;

    std::string key_holder_;          // node named by the leader key, as last read
    std::string acknowledged_leader_; // node that asked for votes as leader, and got ours
    std::optional<time_point> leader_acknowledged_at_;
    std::optional<time_point> last_heartbeat_;
};

} // namespace spindlecroft::membership
