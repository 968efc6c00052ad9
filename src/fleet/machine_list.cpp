// Listed, failed and missing machines.
#include "fleet/machine_list.hpp"
#include "fleet/deletion_reason.hpp"
#include <algorithm>
#include <set>
#include <spdlog/spdlog.h>
#include <string>

namespace spindlecroft::fleet {

namespace {

// The name of a removed machine is remembered for this many lease times plus list lags, since late
// messages may still name it.
constexpr int removed_memory_leases = 10;
// Maximum age of a list, as a multiple of the usual lag.
constexpr int max_list_age_lags = 2;
constexpr seconds list_age_margin{1};

void apply_listed_machine(model::cluster_state &state, const listed_machine &listed,
                          time_point now) {
    auto &machine = state.find_or_add_machine(listed.id, now);
    state.update_description(machine, listed.type, listed.zone, listed.spot, listed.address);
    if (!machine.listed_at) {
        machine.listed_at = now;
        if (!machine.is_up)
            machine.rented_at = std::min(machine.rented_at, now - listed.age);
    }
    if (listed.state == machine_state::running && !machine.running_at)
        machine.running_at = now;
    if (listed.state == machine_state::failed) {
        state.release_attempts(machine);
        state.request_deletion(machine, to_text(deletion_reason::failed));
    }
}

// Returns the machines that existed before the time described by the list but are not listed.
std::vector<std::string> find_missing(const model::cluster_state &state,
                                      const std::set<std::string> &listed,
                                      time_point described_at) {
    std::vector<std::string> missing;
    for (const auto &[name, machine] : state.machines()) {
        // Counted from when the machine became known, not from when it was requested: many requests
        // wait for the cloud's rate limit, and a machine rented late would be taken for missing.
        auto known_since = machine.listed_at.value_or(machine.known_at);
        if (!listed.contains(name) && known_since < described_at)
            missing.push_back(name);
    }
    return missing;
}

} // namespace

void apply_machine_list(model::cluster_state &state, const settings::settings &settings,
                        const std::vector<listed_machine> &listed_machines, time_point requested_at,
                        time_point now) {
    std::set<std::string> listed;
    for (const auto &entry : listed_machines) {
        listed.insert(entry.id);
        if (!state.was_removed(entry.id)) // otherwise the list is outdated
            apply_listed_machine(state, entry, now);
    }
    auto described_at =
        requested_at - max_list_age_lags * settings.machine_list_lag - list_age_margin;
    for (const auto &name : find_missing(state, listed, described_at)) {
        spdlog::info("machine {} is no longer listed by the cloud, removing it", name);
        state.remove_machine(name, now);
    }
    state.forget_removed_machines(
        removed_memory_leases * (settings.lease_duration + settings.machine_list_lag), now);
}

} // namespace spindlecroft::fleet
