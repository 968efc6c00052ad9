#include "membership/election.hpp"
#include "constants.hpp"
#include <fmt/format.h>

namespace spindlecroft::membership {

namespace c = constants;

// A controller that started anew does not know its earlier votes. Without others it has none to
// remember.
static seconds vote_blackout(std::size_t peers) {
    if (peers == 0)
        return seconds{0};
    return c::leader_vote_duration * (1 + 2 * c::max_clock_drift) + c::authority_margin;
}

election::election(std::string node, std::string incarnation, const std::vector<std::string> &peers,
                   time_point started_at)
    : node_(std::move(node)), incarnation_(std::move(incarnation)),
      votes_given_(started_at, vote_blackout(peers.size())), authority_(node_, peers.size() + 1) {
    for (auto &peer : peers)
        reports_.try_emplace(peer);
}

bool election::elected() const {
    return state_ == election_state::leader || state_ == election_state::stepping_down;
}

bool election::leading(time_point now) const {
    return elected() && authority_.valid(now);
}

std::string election::leader_hint(time_point now) const {
    if (leading(now))
        return node_;
    if (!elapsed(requesting_leader_at_, c::leader_vote_duration, now))
        return requesting_leader_;
    return key_holder_ == node_ ? std::string() : key_holder_;
}

// --- news of the other controllers ---

std::optional<bool> election::on_request(const peer_request &request, time_point now) {
    std::optional<bool> granted;
    if (request.kind == request_kind::release) {
        votes_given_.release(request.candidacy);
    } else if (request.kind == request_kind::vote) {
        granted = votes_given_.grant(request.candidacy, request.vote_length, now);
        if (*granted && request.role == requester_role::leader) {
            requesting_leader_ = request.from;
            requesting_leader_at_ = now;
        }
    }
    if (auto report = reports_.find(request.from); report != reports_.end()) {
        report->second.heard_at = now;
        if (request.store_serving)
            report->second.store_serving = *request.store_serving;
    }
    return granted;
}

void election::on_answer(const std::string &peer, const vote_answer &answer, time_point now) {
    auto &report = reports_[peer];
    report.heard_at = now;
    report.store_serving = answer.store_serving;
    report.heartbeat_age = answer.heartbeat_age;
}

void election::on_vote(const std::string &peer, const peer_request &request, time_point sent_at,
                       time_point now) {
    // A vote to an earlier candidacy doesn't count, and none revives a leader that lapsed.
    if (is_current(request, now))
        authority_.vote_granted(peer, sent_at, request.vote_length);
}

bool election::is_current(const peer_request &request, time_point now) const {
    return request.candidacy == candidacy_ &&
           (request.role == requester_role::candidate || authority_.valid(now));
}

bool election::store_served_elsewhere(time_point now) const {
    for (auto &[name, report] : reports_)
        if (report.store_serving && !elapsed(report.heard_at, c::readiness_report_max_age, now))
            return true;
    return false;
}

bool election::isolated_for(seconds length, time_point now) const {
    for (auto &[name, report] : reports_)
        if (!elapsed(report.heard_at, length, now))
            return false;
    return !reports_.empty();
}

// --- a follower ---

bool election::may_campaign(time_point now) const {
    return !(now < no_campaign_until_) && !votes_given_.in_blackout(now);
}

bool election::voted_for_another(time_point now) const {
    auto holder = votes_given_.holder(now);
    return !holder.empty() && holder != candidacy_;
}

// --- a candidate ---

bool election::start_campaign(time_point now) {
    authority_.clear();
    candidacy_ = fmt::format("{}#{}", incarnation_, ++campaigns_);
    if (!votes_given_.grant(candidacy_, c::candidate_vote_duration, now))
        return false;
    state_ = election_state::candidate;
    authority_.vote_granted(node_, now, c::candidate_vote_duration);
    return true;
}

void election::abandon_campaign() {
    state_ = election_state::follower;
    authority_.clear();
}

void election::win(const acquired_leader_key &key, time_point now) {
    lease_ = key.lease;
    token_ = key.version;
    raises_ = 0;
    authority_.lease_renewed(key.lease_sent_at, c::leader_lease_duration);
    votes_given_.grant(candidacy_, c::leader_vote_duration, now);
    authority_.vote_granted(node_, now, c::leader_vote_duration);
    state_ = election_state::leader;
    token_raise_requested_ = false;
    key_check_requested_ = false;
    key_holder_ = node_;
    next_renewal_ = now;
}

// --- a leader ---

bool election::take_renewal_due(time_point now) {
    if (now < next_renewal_)
        return false;
    next_renewal_ = now + c::leader_renew_interval;
    return true;
}

void election::renew_own_vote(time_point now) {
    if (votes_given_.grant(candidacy_, c::leader_vote_duration, now))
        authority_.vote_granted(node_, now, c::leader_vote_duration);
}

void election::on_lease_renewed(time_point sent_at) {
    authority_.lease_renewed(sent_at, c::leader_lease_duration);
}

bool election::another_is_better_placed(seconds store_silence, time_point now) const {
    bool without_store = store_silence > c::step_down_store_silence;
    bool without_heartbeats =
        last_heartbeat_ && now - *last_heartbeat_ > c::step_down_heartbeat_silence;
    for (auto &[name, report] : reports_) {
        // Guards against an outage without a leader: only a controller that the key-value store
        // answers can be elected, and its report must be fresh, for the store may by now be gone
        // for all.
        if (!report.heard_at || now - *report.heard_at > c::step_down_report_max_age ||
            !report.store_serving)
            continue;
        if (without_store)
            return true;
        if (without_heartbeats && report.heartbeat_age &&
            *report.heartbeat_age < c::peer_heartbeat_max_age)
            return true;
    }
    return false;
}

void election::pause_campaigns(time_point now) {
    no_campaign_until_ = now + c::step_down_campaign_pause;
}

bool election::step_down() {
    if (state_ != election_state::leader)
        return false;
    state_ = election_state::stepping_down;
    return true;
}

void election::close_leadership() {
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
    if (version <= token_ || !elected())
        return false;
    token_ = version;
    ++raises_;
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
