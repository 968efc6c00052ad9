// Votes and the leader's authority, both limited in time. No I/O; the caller passes the time.
//
// A leader may act while EITHER its lease in the key-value store OR votes of a majority of
// controllers are valid. To become leader a candidate needs BOTH: the leader key must be free in
// the key-value store, and a majority must vote for it. So two leaders can't have authority at
// once: the key is free only after the old leader's lease has ended, and a majority that votes for
// the new leader leaves the old one without a majority.
#pragma once
#include "common/time.hpp"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace spindlecroft::membership {

/// The vote of one controller, held by at most one candidacy at a time: its own or that of another
/// controller.
class voter {
  public:
    /// A restarted controller doesn't remember its votes, so it gives none during the blackout, by
    /// the end of which every earlier vote has expired.
    voter(time_point started_at, seconds blackout);
    /// Votes for the candidacy until now + duration, or extends its vote. Returns false if another
    /// candidacy holds the vote, or during the blackout.
    bool grant(const std::string &candidacy, seconds duration, time_point now);
    /// Frees the vote if this candidacy holds it; a late release by another candidacy has no
    /// effect.
    void release(const std::string &candidacy);
    [[nodiscard]] bool in_blackout(time_point now) const { return now < blackout_until_; }
    /// The candidacy that holds a valid vote; empty: none.
    [[nodiscard]] std::string holder(time_point now) const {
        return now < until_ ? holder_ : std::string();
    }

  private:
    time_point blackout_until_;
    std::string holder_;
    std::optional<time_point> until_;
};

/// The authority of a leader or candidate, from the votes and the lease that it holds.
class leader_authority {
  public:
    leader_authority(std::string self, std::size_t controllers);
    /// sent_at is the time at which the request was sent: counted from there, authority ends no
    /// later than the vote or lease itself.
    void on_vote_granted(const std::string &controller, time_point sent_at, seconds duration);
    void on_lease_renewed(time_point sent_at, seconds duration);
    void on_lease_ended() { lease_until_.reset(); }
    void clear();
    /// Returns whether more than half of the controllers have given a vote that is still valid.
    [[nodiscard]] bool has_majority(time_point now) const;
    [[nodiscard]] bool has_live_lease(time_point now) const { return now < lease_until_; }
    [[nodiscard]] bool is_valid(time_point now) const {
        return has_live_lease(now) || has_majority(now);
    }
    /// Returns the time up to which the authority stays valid without further votes or renewals.
    [[nodiscard]] time_point valid_until(time_point now) const;

  private:
    std::string self_;
    std::size_t controllers_;
    std::map<std::string, time_point> votes_; // end of the vote, by controller
    std::optional<time_point> lease_until_;
};

/// Returns whether this controller should direct users to other controllers by reporting itself as
/// not ready: the key-value store does not answer it, and another controller is served by the store
/// or this one is isolated and can't tell. In an outage for all controllers every one stays ready.
[[nodiscard]] bool should_divert_users(seconds store_silence, bool store_reachable_elsewhere,
                                       bool is_isolated);

} // namespace spindlecroft::membership
