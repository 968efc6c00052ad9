#include "membership/lease_votes.hpp"
#include "constants.hpp"
#include <algorithm>
#include <vector>

namespace spindlecroft::membership {

namespace c = constants;

vote_ledger::vote_ledger(double started_at, double blackout_s)
    : blackout_until_(started_at + blackout_s) {}

bool vote_ledger::grant(const std::string &to, double length_s, double now) {
    if (in_blackout(now))
        return false;
    if (now < until_ && holder_ != to)
        return false;
    holder_ = to;
    until_ = std::max(now < until_ ? until_ : now, now + length_s);
    return true;
}

void vote_ledger::release(const std::string &to) {
    if (holder_ == to)
        until_ = -1;
}

authority::authority(std::string self, std::size_t controllers)
    : self_(std::move(self)), controllers_(controllers) {}

// Both clocks may drift, and timers fire late; what others promised is counted shorter than they
// keep it.
static double safe_end(double sent_at, double length_s) {
    return sent_at + length_s * (1 - 2 * c::clock_drift) - c::authority_margin_s;
}

void authority::vote_granted(const std::string &by, double sent_at, double length_s) {
    auto &until = votes_[by];
    until = std::max(until, safe_end(sent_at, length_s));
}

void authority::lease_renewed(double sent_at, double length_s) {
    lease_until_ = std::max(lease_until_, safe_end(sent_at, length_s));
}

void authority::clear() {
    votes_.clear();
    lease_until_ = -1;
}

bool authority::majority(double now) const {
    std::size_t live = 0;
    for (auto &[by, until] : votes_)
        if (now < until)
            ++live;
    return live * 2 > controllers_;
}

double authority::valid_until(double now) const {
    std::vector<double> ends;
    for (auto &[by, until] : votes_)
        ends.push_back(until);
    std::sort(ends.rbegin(), ends.rend());
    std::size_t need = controllers_ / 2 + 1;
    double by_majority = ends.size() >= need ? ends[need - 1] : -1;
    return std::max({lease_until_, by_majority, now - 1});
}

bool better_served_elsewhere(double state_silence_s, bool state_served_elsewhere, bool alone) {
    return state_silence_s > c::isolated_s && (state_served_elsewhere || alone);
}

} // namespace spindlecroft::membership
