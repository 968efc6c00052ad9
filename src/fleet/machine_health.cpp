#include "fleet/machine_health.hpp"
#include "constants.hpp"
#include "model/boot_age.hpp"
#include <algorithm>

namespace spindlecroft::fleet {

namespace {

// With no more machines than these, many silent ones at once prove nothing.
constexpr double doubt_least_machines = 3;
constexpr double zone_doubt_least_machines = 2;
// Added to the time that a machine may take to come up.
constexpr seconds boot_margin{5};

// Not if it is listed as running: then it is this process that doesn't hear it, as after a failover
// in a cut, and it counts as silent.
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
    // Listed as running without a word to us counts from then. Guards against feeding a machine
    // that reaches no controller while our commands reach it: its lease ends with all we give.
    auto began = state_.term().began_at;
    auto since = machine.is_up ? std::max(machine.last_heartbeat_at.value_or(began), began)
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
            // Guards against deleting a large zone that is cut off, machine by machine: they fall
            // silent one after another, and when the first is, the others have been quiet already.
            tally->possibly_silent +=
                silent_for(machine, now) > constants::quiet_silence_share * limit;
        }
        // Nothing waits in the queue of a machine that may be dead.
        if (machine.is_silent && !machine.queue.empty())
            state_.clear_queue(machine);
    }
    return survey;
}

bool machine_health::is_zone_suspected_cut_off(const std::string &zone, time_point now) const {
    auto found = zone_suspected_until_.find(zone);
    return found != zone_suspected_until_.end() && found->second > now;
}

std::optional<deletion_reason> machine_health::reason_to_delete(const workers::machine &machine,
                                                                bool in_doubt,
                                                                time_point now) const {
    // In a zone that is cut off, tasks go on until their leases end, and the machines are of use
    // again after the cut: deleting them at once would end work for nothing.
    seconds patience =
        model::silence_limit(settings_) + settings_.lease_duration + constants::zone_cut_off_grace;
    if (machine.is_silent && (!in_doubt || silent_for(machine, now) > patience))
        return deletion_reason::silent;
    if (never_came_up(machine, model::boot_age(machine, state_.term(), settings_, now)))
        return deletion_reason::never_came_up;
    if (machine.reclaim_at && (now > *machine.reclaim_at || machine.attempts.empty()))
        return deletion_reason::reclaimed;
    // Whatever was there has lost its lease; what an earlier leader sent is proven gone only by
    // this, since the machine never shows our token.
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
    bool all_in_doubt =
        survey.all.looks_cut_off(doubt_least_machines, constants::fleet_cut_off_share);
    // After a cut the machines come back one after another.
    for (const auto &[zone, tally] : survey.zones)
        if (tally.looks_cut_off(zone_doubt_least_machines, constants::zone_cut_off_share))
            zone_suspected_until_[zone] = now + constants::zone_reconnect_grace;
    for (auto &[name, machine] : state_.machines()) {
        if (machine.is_deleting)
            continue;
        bool in_doubt = all_in_doubt || is_zone_suspected_cut_off(machine.zone, now);
        if (auto reason = reason_to_delete(machine, in_doubt, now))
            state_.request_deletion(machine, to_text(*reason));
    }
}

} // namespace spindlecroft::fleet
