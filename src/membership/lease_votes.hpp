// Who may act for the controllers, and until when. Pure: time comes in.
//
// A leader is valid while EITHER its lease at the key-value store OR votes of a majority of
// controllers are live. To become leader one needs BOTH: the leader key free at the key-value store
// and votes of a majority. So two leaders can't be valid at once: the key is free only when the
// old one's lease ended, and a majority that votes to the new one leaves the old one without.
#pragma once
#include "common/time.hpp"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace spindlecroft::membership {

// The vote that one controller gives to another's candidacy, or to its own.
class voter {
  public:
    // A restarted controller doesn't remember its votes, so it gives none until every earlier one
    // must have ended.
    voter(time_point started_at, seconds blackout);
    // Votes for `to`, and for nobody else, until now + length. false: the vote is another's.
    bool grant(const std::string &to, seconds length, time_point now);
    // Takes the vote back if it is given to `to`; a late release of another frees nothing.
    void release(const std::string &to);
    [[nodiscard]] bool in_blackout(time_point now) const { return now < blackout_until_; }
    // The candidacy that the live vote is given to; empty: none.
    [[nodiscard]] std::string holder(time_point now) const {
        return now < until_ ? holder_ : std::string();
    }

  private:
    time_point blackout_until_;
    std::string holder_;
    std::optional<time_point> until_;
};

// What a leader or candidate knows of its own entitlement.
class leader_authority {
  public:
    leader_authority(std::string self, std::size_t controllers);
    // Times given are those at which the request was sent, which is never too late.
    void on_vote_granted(const std::string &by, time_point sent_at, seconds length);
    void on_lease_renewed(time_point sent_at, seconds length);
    void on_lease_ended() { lease_until_.reset(); }
    void clear();
    // Live votes of more than half of the controllers.
    [[nodiscard]] bool has_majority(time_point now) const;
    [[nodiscard]] bool has_live_lease(time_point now) const { return now < lease_until_; }
    [[nodiscard]] bool is_valid(time_point now) const {
        return has_live_lease(now) || has_majority(now);
    }
    // Until when it surely stays valid without news.
    [[nodiscard]] time_point valid_until(time_point now) const;

  private:
    std::string self_;
    std::size_t controllers_;
    std::map<std::string, time_point> votes_; // by controller, when they end
    std::optional<time_point> lease_until_;
};

// Whether a node should send users elsewhere: it is without the key-value store while another has
// it, or hears nobody at all and so can't tell. In an outage for all, everybody stays.
[[nodiscard]] bool should_divert_users(seconds store_silence, bool store_served_elsewhere,
                                       bool isolated);

} // namespace spindlecroft::membership
