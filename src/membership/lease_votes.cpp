#include "membership/lease_votes.hpp"
#include "constants.hpp"
#include <algorithm>
#include <vector>

namespace spindlecroft::membership {

namespace c = constants;

voter::voter(time_point started_at, seconds blackout) : blackout_until_(started_at + blackout) {}

bool voter::grant(const std::string &candidacy, seconds duration, time_point now) {
    if (in_blackout(now))
        return false;
    if (now < until_ && holder_ != candidacy)
        return false;
    holder_ = candidacy;
    until_ = std::max(now < until_ ? *until_ : now, now + duration);
    return true;
}

void voter::release(const std::string &candidacy) {
    if (holder_ == candidacy)
        until_.reset();
}

leader_authority::leader_authority(std::string self, std::size_t controllers)
    : self_(std::move(self)), controllers_(controllers) {}

// Both clocks may drift and timers fire late, so the requester counts a vote or lease as shorter
// than the granting side does.
static time_point safe_end(time_point sent_at, seconds duration) {
    return sent_at + duration * (1 - 2 * c::max_clock_drift) - c::authority_margin;
}

void leader_authority::on_vote_granted(const std::string &controller, time_point sent_at,
                                       seconds duration) {
    auto &until = votes_[controller];
    until = std::max(until, safe_end(sent_at, duration));
}

void leader_authority::on_lease_renewed(time_point sent_at, seconds duration) {
    lease_until_ = std::max(lease_until_, std::optional(safe_end(sent_at, duration)));
}

void leader_authority::clear() {
    votes_.clear();
    lease_until_.reset();
}

bool leader_authority::has_majority(time_point now) const {
    std::size_t valid_votes = 0;
    for (auto &[controller, until] : votes_)
        if (now < until)
            ++valid_votes;
    return valid_votes * 2 > controllers_;
}

time_point leader_authority::valid_until(time_point now) const {
    std::vector<time_point> vote_ends;
    for (auto &[controller, until] : votes_)
        vote_ends.push_back(until);
    std::sort(vote_ends.rbegin(), vote_ends.rend());
    std::size_t quorum = controllers_ / 2 + 1;
    auto until = now - seconds{1}; // in the past: no authority
    if (vote_ends.size() >= quorum)
        until = std::max(until, vote_ends[quorum - 1]);
    return std::max(until, lease_until_.value_or(until));
}

bool should_divert_users(seconds store_silence, bool store_reachable_elsewhere, bool is_isolated) {
    return store_silence > c::isolation_timeout && (store_reachable_elsewhere || is_isolated);
}

} // namespace spindlecroft::membership
