// Outbound partitions, by what heartbeats show of our answers.
#include "reconciliation/partition_detector.hpp"
#include "constants.hpp"
#include "reconciliation/lease_time.hpp"
#include <spdlog/spdlog.h>

namespace spindlecroft::reconciliation {

namespace {

// Covers the steps of the worker's timers between an answer and its next heartbeat.
constexpr seconds timer_margin{1};
// How much longer than the configured interval a worker may wait between two heartbeats.
constexpr double interval_stretch = 1.25;

} // namespace

void partition_detector::note_answer(workers::machine &machine, heartbeat_freshness age,
                                     time_point now) {
    // Guards against a machine taken for partitioned: the answer to a late copy reaches nobody.
    if (age != heartbeat_freshness::fresh)
        return;
    machine.answered_at = now;
    if (!machine.announced_at && machine.token < state_.term().token) {
        machine.announced_token = state_.term().token;
        machine.announced_at = now;
    }
}

void partition_detector::check_heartbeat(workers::machine &machine, const heartbeat &received,
                                         bool new_incarnation, start_evidence starts,
                                         time_point now) {
    clear_if_acknowledged(machine, received, starts);
    clear_if_lease_outlasted(machine, new_incarnation, now);
    count_missed_acknowledgement(machine, received, starts, now);
    if (!is_partitioned(machine, new_incarnation, now) || machine.outbound_partition_since)
        return;
    spdlog::info("{}: does not hear us, gets no more work", machine.name);
    machine.outbound_partition_since = now;
    state_.withdraw_unsent_attempts(machine);
}

void partition_detector::clear_if_acknowledged(workers::machine &machine, const heartbeat &received,
                                               start_evidence starts) {
    bool token_shown = machine.announced_token > 0 && received.token >= machine.announced_token;
    if (!token_shown || starts == start_evidence::not_received)
        return;
    if (!machine.announced_at)
        return;
    machine.missed_acknowledgements = 0;
    if (machine.outbound_partition_since)
        state_.request_planning();
    machine.outbound_partition_since.reset();
    machine.announced_at.reset();
}

// Guards against a mark that outlives its cause: the answer that the machine's last incarnation
// seemed not to have got may have gone to a late copy. An incarnation that outlasts a lease was
// answered.
void partition_detector::clear_if_lease_outlasted(workers::machine &machine, bool new_incarnation,
                                                  time_point now) {
    if (!machine.outbound_partition_since || new_incarnation)
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
    bool token_ignored = machine.announced_at && received.token < machine.announced_token &&
                         now - *machine.announced_at > max_acknowledgement_delay();
    if (starts != start_evidence::not_received && !token_ignored)
        return;
    ++machine.missed_acknowledgements;
    if (machine.missed_acknowledgements == 1)
        machine.first_missed_acknowledgement_at = now;
}

bool partition_detector::is_partitioned(const workers::machine &machine, bool new_incarnation,
                                        time_point now) const {
    bool answers_ignored =
        machine.missed_acknowledgements >= constants::outbound_partition_heartbeats &&
        now - *machine.first_missed_acknowledgement_at > constants::worker_answer_timeout;
    bool answered_incarnation_ended =
        new_incarnation && machine.answered_at &&
        now - *machine.answered_at <
            constants::outbound_partition_lease_share * settings_.lease_duration;
    return answers_ignored || answered_incarnation_ended;
}

seconds partition_detector::max_acknowledgement_delay() const {
    return constants::worker_answer_timeout + timer_margin +
           interval_stretch * settings_.heartbeat_interval;
}

} // namespace spindlecroft::reconciliation
