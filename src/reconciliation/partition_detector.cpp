// Detection of outbound partitions from the tokens, starts and incarnations in heartbeats.
#include "reconciliation/partition_detector.hpp"
#include "constants.hpp"
#include "reconciliation/lease_time.hpp"
#include <spdlog/spdlog.h>

namespace spindlecroft::reconciliation {

namespace {

// Covers the granularity of the agent's timers between an answer and its next heartbeat.
constexpr seconds timer_margin{1};
// Ratio of the longest time between two heartbeats of an agent to the configured interval.
constexpr double interval_stretch = 1.25;

} // namespace

void partition_detector::note_answer(workers::machine &machine, heartbeat_freshness freshness,
                                     time_point now) {
    // The answer to a late copy of a heartbeat reaches no agent. Counting it would make a healthy
    // machine look partitioned.
    if (freshness != heartbeat_freshness::fresh)
        return;
    machine.answered_at = now;
    if (!machine.announced_at && machine.token < state_.term().token) {
        machine.announced_token = state_.term().token;
        machine.announced_at = now;
    }
}

void partition_detector::check_heartbeat(workers::machine &machine, const heartbeat &received,
                                         bool is_new_incarnation, start_evidence starts,
                                         time_point now) {
    clear_if_acknowledged(machine, received, starts);
    clear_if_lease_outlasted(machine, is_new_incarnation, now);
    count_missed_acknowledgement(machine, received, starts, now);
    if (!is_partitioned(machine, is_new_incarnation, now) || machine.outbound_partition_since)
        return;
    spdlog::info("machine {}: outbound partition detected, no more work will be assigned to it",
                 machine.name);
    machine.outbound_partition_since = now;
    state_.withdraw_unsent_attempts(machine);
}

void partition_detector::clear_if_acknowledged(workers::machine &machine, const heartbeat &received,
                                               start_evidence starts) {
    bool is_token_shown = machine.announced_token > 0 && received.token >= machine.announced_token;
    if (!is_token_shown || starts == start_evidence::not_received)
        return;
    if (!machine.announced_at)
        return;
    machine.missed_acknowledgements = 0;
    if (machine.outbound_partition_since)
        state_.request_planning();
    machine.outbound_partition_since.reset();
    machine.announced_at.reset();
}

// Without this, a mark could outlast its cause: the answer that the machine's previous incarnation
// seemingly did not receive may have gone to a late copy of a heartbeat. An incarnation that
// outlasts a lease has received an answer.
void partition_detector::clear_if_lease_outlasted(workers::machine &machine,
                                                  bool is_new_incarnation, time_point now) {
    if (!machine.outbound_partition_since || is_new_incarnation)
        return;
    if (now - *machine.incarnation_seen_at <=
        max_lease_duration(settings_) + max_acknowledgement_delay())
        return;
    machine.missed_acknowledgements = 0;
    machine.outbound_partition_since.reset();
    machine.announced_at.reset();
    state_.request_planning();
}

void partition_detector::count_missed_acknowledgement(workers::machine &machine,
                                                      const heartbeat &received,
                                                      start_evidence starts, time_point now) {
    bool is_token_missing = machine.announced_at && received.token < machine.announced_token &&
                            now - *machine.announced_at > max_acknowledgement_delay();
    if (starts != start_evidence::not_received && !is_token_missing)
        return;
    ++machine.missed_acknowledgements;
    if (machine.missed_acknowledgements == 1)
        machine.first_missed_acknowledgement_at = now;
}

bool partition_detector::is_partitioned(const workers::machine &machine, bool is_new_incarnation,
                                        time_point now) const {
    bool has_ignored_answers =
        machine.missed_acknowledgements >= constants::outbound_partition_heartbeats &&
        now - *machine.first_missed_acknowledgement_at > constants::worker_answer_timeout;
    bool has_lost_answered_incarnation =
        is_new_incarnation && machine.answered_at &&
        now - *machine.answered_at <
            constants::outbound_partition_lease_share * settings_.lease_duration;
    return has_ignored_answers || has_lost_answered_incarnation;
}

seconds partition_detector::max_acknowledgement_delay() const {
    return constants::worker_answer_timeout + timer_margin +
           interval_stretch * settings_.heartbeat_interval;
}

} // namespace spindlecroft::reconciliation
