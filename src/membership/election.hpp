// Leader election as seen by one controller: a state machine without I/O. The caller passes the
// time and the messages received; class member sends the requests that follow from the state.
//
//   follower -> candidate -> leader -> stepping_down -> follower
//
// A candidate without a majority of votes, and a leader whose authority has expired, become
// followers again.
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

/// Role of a controller in the election.
enum class election_state {
    follower,
    candidate,
    leader,
    stepping_down // giving up leadership; may act until end_leadership()
};

/// The leader key that a candidate has acquired.
struct acquired_leader_key {
    std::uint64_t version = 0;     // the fencing token
    std::uint64_t lease = 0;       // lease that the key is bound to
    time_point lease_requested_at; // when the request for the lease was sent
};

/// The election state of one controller.
class election {
  public:
    /// incarnation: identifies this process among all runs of this controller. peers: names of all
    /// other controllers.
    election(std::string node, std::string incarnation, const std::vector<std::string> &peers,
             time_point started_at);

    [[nodiscard]] election_state state() const { return state_; }
    /// Returns whether this controller was elected and end_leadership() has not been called since;
    /// its authority may have expired.
    [[nodiscard]] bool is_elected() const;
    /// Returns whether this controller may act as the leader: it is elected, and its lease or a
    /// majority of votes is valid.
    [[nodiscard]] bool is_leading(time_point now) const;
    /// The fencing token of this leadership, or of the last one.
    [[nodiscard]] std::uint64_t token() const { return token_; }
    /// The store lease that the leader key is, or was last, bound to.
    [[nodiscard]] std::uint64_t lease() const { return lease_; }
    /// Identifies one candidacy of one incarnation of a controller, and the leadership that follows
    /// from it.
    [[nodiscard]] const std::string &candidacy() const { return candidacy_; }
    /// The node that workers should send heartbeats to; empty: unknown.
    [[nodiscard]] std::string leader_hint(time_point now) const;

    // --- messages from other controllers ---

    /// Decides a vote request or carries out a release. Returns whether the vote was granted;
    /// nothing: the request did not ask for a vote.
    std::optional<bool> on_request(const peer_request &request, time_point now);
    /// Records the state that another controller reports in a response; on_vote_granted() counts
    /// its vote.
    void on_response(const std::string &peer, const vote_response &response, time_point now);
    /// Counts a vote that another controller granted to a request sent at sent_at, unless the
    /// request is out of date.
    void on_vote_granted(const std::string &peer, const peer_request &request, time_point sent_at,
                         time_point now);
    /// Returns whether a request of this controller is still valid: it belongs to the current
    /// candidacy and, if sent as leader, the leader's authority has not expired. Prevents a leader
    /// that was suspended from binding the votes of others to itself when it resumes.
    [[nodiscard]] bool is_current(const peer_request &request, time_point now) const;
    /// The candidacy that holds this controller's vote; empty: none.
    [[nodiscard]] std::string vote_holder(time_point now) const { return voter_.holder(now); }
    /// Returns whether votes given before the last start may still be valid; no vote is given until
    /// then.
    [[nodiscard]] bool in_blackout(time_point now) const { return voter_.in_blackout(now); }
    /// Returns whether another controller has recently reported that the key-value store answers
    /// it.
    [[nodiscard]] bool store_reachable_elsewhere(time_point now) const;
    /// Returns whether there are other controllers and none of them has sent a message for this
    /// long.
    [[nodiscard]] bool is_isolated_for(seconds duration, time_point now) const;

    // --- a follower ---

    /// Records the node that the leader key names; empty: none.
    void on_leader_key(const std::string &node) { key_holder_ = node; }
    [[nodiscard]] bool may_campaign(time_point now) const;
    /// Returns whether this controller's vote is held by another controller's candidacy.
    [[nodiscard]] bool has_voted_for_another(time_point now) const;

    // --- a candidate ---

    /// Starts a candidacy with this controller's own vote. Returns false if another candidacy holds
    /// that vote.
    [[nodiscard]] bool start_campaign(time_point now);
    [[nodiscard]] bool has_majority(time_point now) const { return authority_.has_majority(now); }
    void abandon_campaign();
    /// Called with a majority of votes and the leader key acquired.
    void become_leader(const acquired_leader_key &key, time_point now);

    // --- a leader ---

    /// Returns whether votes and lease are due for renewal, and schedules the next renewal if so.
    [[nodiscard]] bool take_due_renewal(time_point now);
    [[nodiscard]] time_point next_renewal() const { return next_renewal_; }
    /// Extends this controller's own vote for its leadership.
    void renew_own_vote(time_point now);
    void on_lease_renewed(time_point sent_at);
    void on_lease_ended() { authority_.on_lease_ended(); }
    /// Returns whether the leader should step down in favor of another controller: this one is cut
    /// off from the key-value store or from the workers, and another is not. store_silence: time
    /// since the key-value store last answered this controller.
    [[nodiscard]] bool is_better_leader_available(seconds store_silence, time_point now) const;
    /// Keeps this controller from campaigning for some time.
    void pause_campaigns(time_point now);
    /// Starts giving up leadership. Returns false if this controller is not the leader or is
    /// stepping down already.
    [[nodiscard]] bool step_down();
    /// Ends the leadership; this controller is a follower again.
    void end_leadership();
    /// Releases this controller's own vote for its candidacy or leadership that ended.
    void release_own_vote() { voter_.release(candidacy_); }

    // --- the fencing token ---

    void request_token_raise() { token_raise_requested_ = true; }
    void request_key_check() { key_check_requested_ = true; }
    /// Each returns true once for a request, when no operation on the leader key is in progress.
    [[nodiscard]] bool take_token_raise_request();
    [[nodiscard]] bool take_key_check_request();
    /// Marks the start of an operation that reads or rewrites the leader key. Returns false if one
    /// is in progress.
    [[nodiscard]] bool start_key_operation();
    void end_key_operation() { key_operation_running_ = false; }
    /// Number of the next token raise within this leadership, from 1.
    [[nodiscard]] std::uint64_t next_token_raise() const { return token_raises_ + 1; }
    /// Sets the token to the version of this controller's leader key if that is higher. Returns
    /// whether the token changed.
    [[nodiscard]] bool raise_token(std::uint64_t version);

    // --- heartbeats of workers ---

    void on_heartbeat(time_point now) { last_heartbeat_ = now; }
    [[nodiscard]] std::optional<seconds> heartbeat_age(time_point now) const;
    /// Returns whether there was no heartbeat for half of the time after which a leader steps down
    /// for lack of heartbeats.
    [[nodiscard]] bool lacks_heartbeats(time_point now) const;

  private:
    /// The last reported state of another controller.
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
    std::map<std::string, peer_status> peer_statuses_; // by peer name

    std::string candidacy_;
    std::uint64_t campaigns_ = 0;
    std::optional<time_point> campaigns_paused_until_;
    time_point next_renewal_{};

    std::uint64_t token_ = 0;
    std::uint64_t lease_ = 0;
    std::uint64_t token_raises_ = 0; // within this leadership
    bool token_raise_requested_ = false;
    bool key_check_requested_ = false;
    bool key_operation_running_ = false;

    std::string key_holder_;          // node that the leader key names, as last read
    std::string acknowledged_leader_; // last node that got this controller's vote as leader
    std::optional<time_point> leader_acknowledged_at_;
    std::optional<time_point> last_heartbeat_;
};

} // namespace spindlecroft::membership
