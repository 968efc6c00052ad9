#include "membership/lease_votes.hpp"
#include "constants.hpp"
#include <algorithm>
#include <vector>

namespace spindlecroft::membership {

namespace c = constants;

voter::voter(time_point started_at, seconds blackout) : blackout_until_(started_at + blackout) {}

bool voter::grant(const std::string &to, seconds length, time_point now) {
    if (in_blackout(now))
        return false;
    if (now < until_ && holder_ != to)
        return false;
    holder_ = to;
    until_ = std::max(now < until_ ? *until_ : now, now + length);
    return true;
}

void voter::release(const std::string &to) {
    if (holder_ == to)
        until_.reset();
}

leader_authority::leader_authority(std::string self, std::size_t controllers)
    : self_(std::move(self)), controllers_(controllers) {}

// Both clocks may drift, and timers fire late; the votes of others are counted
// shorter than they keep them.
static time_point safe_end(time_point sent_at, seconds length) {
    return sent_at + length * (1 - 2 * c::max_clock_drift) - c::authority_margin;
}

void leader_authority::on_vote_granted(const std::string &by, time_point sent_at, seconds length) {
    auto &until = votes_[by];
    until = std::max(until, safe_end(sent_at, length));
}

void leader_authority::on_lease_renewed(time_point sent_at, seconds length) {
    lease_until_ = std::max(lease_until_, std::optional(safe_end(sent_at, length)));
}

void leader_authority::clear() {
    votes_.clear();
    lease_until_.reset();
}

bool leader_authority::has_majority(time_point now) const {
    std::size_t live = 0;
    for (auto &[by, until] : votes_)
        if (now < until)
            ++live;
    return live * 2 > controllers_;
}

time_point leader_authority::valid_until(time_point now) const {
    std::vector<time_point> ends;
    for (auto &[by, until] : votes_)
        ends.push_back(until);
    std::sort(ends.rbegin(), ends.rend());
    std::size_t quorum = controllers_ / 2 + 1;
    auto until = now - seconds{1}; // in the past: not valid
    if (ends.size() >= quorum)
        until = std::max(until, ends[quorum - 1]);
    return std::max(until, lease_until_.value_or(until));
}

bool should_divert_users(seconds store_silence, bool store_served_elsewhere, bool isolated) {
    return store_silence > c::isolation_timeout && (store_served_elsewhere || isolated);
}

} // namespace spindlecroft::membership
