#include "membership/election.hpp"
#include "constants.hpp"
#include <fmt/format.h>

namespace spindlecroft::membership {

namespace c = constants;

// A restarted controller does not remember which votes it gave before. Without other controllers it
// gave none to remember.
static seconds vote_blackout(std::size_t peers) {
    if (peers == 0)
        return seconds{0};
    return c::leader_vote_duration * (1 + 2 * c::max_clock_drift) + c::authority_margin;
}

election::election(std::string node, std::string incarnation, const std::vector<std::string> &peers,
                   time_point started_at)
    : node_(std::move(node)), incarnation_(std::move(incarnation)),
      voter_(started_at, vote_blackout(peers.size())), authority_(node_, peers.size() + 1) {
    for (auto &peer : peers)
        peer_statuses_.try_emplace(peer);
}

bool election::is_elected() const {
    return state_ == election_state::leader || state_ == election_state::stepping_down;
}

bool election::is_leading(time_point now) const {
    return is_elected() && authority_.is_valid(now);
}

std::string election::leader_hint(time_point now) const {
    if (is_leading(now))
        return node_;
    if (!elapsed(leader_acknowledged_at_, c::leader_vote_duration, now))
        return acknowledged_leader_;
    return key_holder_ == node_ ? std::string() : key_holder_;
}

// --- messages from other controllers ---

std::optional<bool> election::on_request(const peer_request &request, time_point now) {
    std::optional<bool> granted;
    if (request.kind == request_kind::release) {
        voter_.release(request.candidacy);
    } else if (request.kind == request_kind::vote) {
        granted = voter_.grant(request.candidacy, request.vote_duration, now);
        if (*granted && request.role == requester_role::leader) {
            acknowledged_leader_ = request.from;
            leader_acknowledged_at_ = now;
        }
    }
    if (auto status = peer_statuses_.find(request.from); status != peer_statuses_.end()) {
        status->second.last_message_at = now;
        if (request.store_reachable)
            status->second.store_reachable = *request.store_reachable;
    }
    return granted;
}

void election::on_response(const std::string &peer, const vote_response &response, time_point now) {
    auto &status = peer_statuses_[peer];
    status.last_message_at = now;
    status.store_reachable = response.store_reachable;
    status.heartbeat_age = response.heartbeat_age;
}

void election::on_vote_granted(const std::string &peer, const peer_request &request,
                               time_point sent_at, time_point now) {
    // A vote for an earlier candidacy is not counted, and no vote restores the expired authority of
    // a leader.
    if (is_current(request, now))
        authority_.on_vote_granted(peer, sent_at, request.vote_duration);
}

bool election::is_current(const peer_request &request, time_point now) const {
    return request.candidacy == candidacy_ &&
           (request.role == requester_role::candidate || authority_.is_valid(now));
}

bool election::store_reachable_elsewhere(time_point now) const {
    for (auto &[name, status] : peer_statuses_)
        if (status.store_reachable &&
            !elapsed(status.last_message_at, c::readiness_report_max_age, now))
            return true;
    return false;
}

bool election::is_isolated_for(seconds duration, time_point now) const {
    for (auto &[name, status] : peer_statuses_)
        if (!elapsed(status.last_message_at, duration, now))
            return false;
    return !peer_statuses_.empty();
}

// --- a follower ---

bool election::may_campaign(time_point now) const {
    return !(now < campaigns_paused_until_) && !voter_.in_blackout(now);
}

bool election::has_voted_for_another(time_point now) const {
    auto holder = voter_.holder(now);
    return !holder.empty() && holder != candidacy_;
}

// --- a candidate ---

bool election::start_campaign(time_point now) {
    authority_.clear();
    candidacy_ = fmt::format("{}#{}", incarnation_, ++campaigns_);
    if (!voter_.grant(candidacy_, c::candidate_vote_duration, now))
        return false;
    state_ = election_state::candidate;
    authority_.on_vote_granted(node_, now, c::candidate_vote_duration);
    return true;
}

void election::abandon_campaign() {
    state_ = election_state::follower;
    authority_.clear();
}

void election::become_leader(const acquired_leader_key &key, time_point now) {
    lease_ = key.lease;
    token_ = key.version;
    token_raises_ = 0;
    authority_.on_lease_renewed(key.lease_requested_at, c::leader_lease_duration);
    voter_.grant(candidacy_, c::leader_vote_duration, now);
    authority_.on_vote_granted(node_, now, c::leader_vote_duration);
    state_ = election_state::leader;
    token_raise_requested_ = false;
    key_check_requested_ = false;
    key_holder_ = node_;
    next_renewal_ = now;
}

// --- a leader ---

bool election::take_due_renewal(time_point now) {
    if (now < next_renewal_)
        return false;
    next_renewal_ = now + c::leader_renew_interval;
    return true;
}

void election::renew_own_vote(time_point now) {
    if (voter_.grant(candidacy_, c::leader_vote_duration, now))
        authority_.on_vote_granted(node_, now, c::leader_vote_duration);
}

void election::on_lease_renewed(time_point sent_at) {
    authority_.on_lease_renewed(sent_at, c::leader_lease_duration);
}

bool election::is_better_leader_available(seconds store_silence, time_point now) const {
    bool without_store = store_silence > c::step_down_store_silence;
    bool without_heartbeats =
        last_heartbeat_ && now - *last_heartbeat_ > c::step_down_heartbeat_silence;
    for (auto &[name, status] : peer_statuses_) {
        // Prevents the cluster from being without a leader during an outage: only a controller that
        // the key-value store answers can be elected, and its report must be recent, because the
        // store may have become unreachable for all controllers since.
        if (!status.last_message_at ||
            now - *status.last_message_at > c::step_down_report_max_age || !status.store_reachable)
            continue;
        if (without_store)
            return true;
        if (without_heartbeats && status.heartbeat_age &&
            *status.heartbeat_age < c::peer_heartbeat_max_age)
            return true;
    }
    return false;
}

void election::pause_campaigns(time_point now) {
    campaigns_paused_until_ = now + c::step_down_campaign_pause;
}

bool election::step_down() {
    if (state_ != election_state::leader)
        return false;
    state_ = election_state::stepping_down;
    return true;
}

void election::end_leadership() {
    state_ = election_state::follower;
    authority_.clear();
}

// --- the fencing token ---

bool election::take_token_raise_request() {
    if (!token_raise_requested_ || key_operation_running_)
        return false;
    token_raise_requested_ = false;
    return true;
}

bool election::take_key_check_request() {
    if (!key_check_requested_ || key_operation_running_)
        return false;
    key_check_requested_ = false;
    return true;
}

bool election::start_key_operation() {
    if (key_operation_running_)
        return false;
    key_operation_running_ = true;
    return true;
}

bool election::raise_token(std::uint64_t version) {
    if (version <= token_ || !is_elected())
        return false;
    token_ = version;
    ++token_raises_;
    return true;
}

// --- heartbeats of workers ---

std::optional<seconds> election::heartbeat_age(time_point now) const {
    if (!last_heartbeat_)
        return std::nullopt;
    return now - *last_heartbeat_;
}

bool election::lacks_heartbeats(time_point now) const {
    return !last_heartbeat_ || now - *last_heartbeat_ > c::step_down_heartbeat_silence / 2;
}

} // namespace spindlecroft::membership
