#include "fleet/machine_list.hpp"
#include "fleet/deletion_reason.hpp"
#include <algorithm>
#include <set>
#include <spdlog/spdlog.h>
#include <string>

namespace spindlecroft::fleet {

namespace {

// A machine's name is remembered for so many lease times after its end, in case a late message
// names it.
constexpr int removed_memory_leases = 10;
// A list is at most so many times the usual lag old.
constexpr int oldest_list_lags = 2;
constexpr seconds list_age_margin{1};

void take_over(model::cluster_state &state, const listed_machine &listed, time_point now) {
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

// Machines that existed before the time that the list describes and are not listed.
std::vector<std::string> find_gone(const model::cluster_state &state,
                                   const std::set<std::string> &listed, time_point described) {
    std::vector<std::string> gone;
    for (const auto &[name, machine] : state.machines()) {
        // Guards against giving up machines that were rented late: many requests wait for the
        // cloud's limit, and the machine is younger than the wish for it.
        auto since = machine.listed_at.value_or(machine.known_at);
        if (!listed.contains(name) && since < described)
            gone.push_back(name);
    }
    return gone;
}

} // namespace

void apply_machine_list(model::cluster_state &state, const settings::settings &settings,
                        const std::vector<listed_machine> &listed_machines, time_point asked_at,
                        time_point now) {
    std::set<std::string> listed;
    for (const auto &each : listed_machines) {
        listed.insert(each.id);
        if (!state.was_removed(each.id)) // else it is an old list
            take_over(state, each, now);
    }
    auto described = asked_at - oldest_list_lags * settings.machine_list_lag - list_age_margin;
    for (const auto &name : find_gone(state, listed, described)) {
        spdlog::info("{}: no longer listed", name);
        state.remove_machine(name, now);
    }
    state.forget_removed_machines(
        removed_memory_leases * (settings.lease_duration + settings.machine_list_lag), now);
}

} // namespace spindlecroft::fleet
