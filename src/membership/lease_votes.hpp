// Who may act for the controllers, and until when. Pure: time comes in.
//
// A leader is valid while EITHER its lease at the key-value store OR votes of a majority of
// controllers are live. To become leader one needs BOTH: the leader key free at the key-value store
// and votes of a majority. So two leaders can't be valid at once: the key is free only when the
// old one's lease ended, and a majority that votes to the new one leaves the old one without.
#pragma once
#include <map>
#include <string>
#include <vector>

namespace spindlecroft::membership {

// One controller's own votes to others (and to itself).
class vote_ledger {
  public:
    // A restarted controller doesn't remember what it promised, so it votes nothing until
    // every earlier vote must have ended.
    vote_ledger(double started_at, double blackout_s);
    // Promises to support nobody but `to` until now + length_s.
    bool grant(const std::string &to, double length_s, double now);
    void release(const std::string &to);
    bool in_blackout(double now) const { return now < blackout_until_; }
    // Whom the live vote is given to; empty: nobody.
    std::string holder(double now) const { return now < until_ ? holder_ : std::string(); }

  private:
    double blackout_until_;
    std::string holder_;
    double until_ = -1;
};

// What a leader or candidate knows of its own entitlement.
class authority {
  public:
    authority(std::string self, std::size_t controllers);
    // Times given are those at which the request was sent, which is never too late.
    void vote_granted(const std::string &by, double sent_at, double length_s);
    void lease_renewed(double sent_at, double length_s);
    void lease_ended() { lease_until_ = -1; }
    void clear();
    bool majority(double now) const;
    bool lease_live(double now) const { return now < lease_until_; }
    bool valid(double now) const { return lease_live(now) || majority(now); }
    // Until when it surely stays valid without news.
    double valid_until(double now) const;

  private:
    std::string self_;
    std::size_t controllers_;
    std::map<std::string, double> votes_;
    double lease_until_ = -1;
};

// Whether a node should send users elsewhere: it is without the key-value store while another has
// it, or hears nobody at all and so can't tell. In an outage for all, everybody stays.
bool better_served_elsewhere(double state_silence_s, bool state_served_elsewhere, bool alone);

} // namespace spindlecroft::membership
