// Silence survey and the conditions for deleting a machine.
#include "fleet/machine_health.hpp"
#include "constants.hpp"
#include "model/boot_age.hpp"
#include <algorithm>

namespace spindlecroft::fleet {

namespace {

// With no more machines than these, a large share of silent ones does not indicate a partition.
constexpr double partition_min_machines = 3;
constexpr double partition_min_zone_machines = 2;
// Added to the time that a machine may take to boot.
constexpr seconds boot_margin{5};

// A machine listed as running is excluded: its heartbeats do not reach this process, for instance
// after a failover during a partition, and it counts as silent.
bool never_came_up(const workers::machine &machine, seconds boot_age) {
    return !machine.is_up && machine.is_type_known && !machine.running_at &&
           boot_age > constants::late_boot_ratio * machine.type.boot_time + boot_margin;
}

bool is_slow(const workers::machine &machine) {
    return machine.is_up && machine.speed_samples >= constants::min_speed_samples &&
           machine.speed < constants::slow_machine_speed;
}

} // namespace

seconds machine_health::silent_for(const workers::machine &machine, time_point now) const {
    // For a machine listed as running whose agent never sent a message, silence begins with that
    // listing. Otherwise a machine that reaches no controller but receives commands would be given
    // work, all of which ends with its lease.
    auto term_began_at = state_.term().began_at;
    auto since = machine.is_up
                     ? std::max(machine.last_heartbeat_at.value_or(term_began_at), term_began_at)
                     : machine.running_at;
    return since ? now - *since : seconds{};
}

machine_health::silence_survey machine_health::survey_silence(time_point now) {
    silence_survey survey;
    seconds limit = model::silence_limit(settings_);
    for (auto &[name, machine] : state_.machines()) {
        machine.is_silent = silent_for(machine, now) > limit;
        if ((!machine.is_up && !machine.running_at) || machine.is_deleting)
            continue;
        for (auto *tally : {&survey.all, &survey.zones[machine.zone]}) {
            ++tally->observed;
            // Prevents the deletion of a large partitioned zone machine by machine: they become
            // silent one after another, but when the first one does, the others already lack a
            // recent heartbeat.
            tally->possibly_silent +=
                silent_for(machine, now) > constants::quiet_silence_share * limit;
        }
        // No task may wait in the queue of a machine that may have failed.
        if (machine.is_silent && !machine.queue.empty())
            state_.clear_queue(machine);
    }
    return survey;
}

bool machine_health::is_zone_suspected_partitioned(const std::string &zone, time_point now) const {
    auto found = zone_suspected_until_.find(zone);
    return found != zone_suspected_until_.end() && found->second > now;
}

std::optional<deletion_reason> machine_health::reason_to_delete(const workers::machine &machine,
                                                                bool is_suspected_partition,
                                                                time_point now) const {
    // In a partitioned zone tasks continue until their leases expire, and the machines are usable
    // again after the partition. Deleting them immediately would lose that work needlessly.
    seconds patience =
        model::silence_limit(settings_) + settings_.lease_duration + constants::zone_cut_off_grace;
    if (machine.is_silent && (!is_suspected_partition || silent_for(machine, now) > patience))
        return deletion_reason::silent;
    if (never_came_up(machine, model::boot_age(machine, state_.term(), settings_, now)))
        return deletion_reason::never_came_up;
    if (machine.reclaim_at && (now > *machine.reclaim_at || machine.attempts.empty()))
        return deletion_reason::reclaimed;
    // By now every task on the machine has lost its lease. Only the deletion proves gone what an
    // earlier leader sent, since the machine never shows the token of this one.
    if (machine.outbound_partition_since &&
        now - *machine.outbound_partition_since >
            constants::outbound_partition_max_leases * settings_.lease_duration)
        return deletion_reason::outbound_partition;
    if (machine.is_quarantined && machine.attempts.empty())
        return deletion_reason::quarantined;
    if (is_slow(machine) && machine.attempts.empty())
        return deletion_reason::slow;
    return std::nullopt;
}

void machine_health::check(time_point now) {
    auto survey = survey_silence(now);
    bool is_fleet_suspected =
        survey.all.looks_partitioned(partition_min_machines, constants::fleet_cut_off_share);
    // After a partition the machines return one after another.
    for (const auto &[zone, tally] : survey.zones)
        if (tally.looks_partitioned(partition_min_zone_machines, constants::zone_cut_off_share))
            zone_suspected_until_[zone] = now + constants::zone_reconnect_grace;
    for (auto &[name, machine] : state_.machines()) {
        if (machine.is_deleting)
            continue;
        bool is_suspected_partition =
            is_fleet_suspected || is_zone_suspected_partitioned(machine.zone, now);
        if (auto reason = reason_to_delete(machine, is_suspected_partition, now))
            state_.request_deletion(machine, to_text(*reason));
    }
}

} // namespace spindlecroft::fleet
