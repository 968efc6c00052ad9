// Limits on the time that a machine may take to boot and to be heard from.
#pragma once
#include "common/time.hpp"
#include "model/cluster_state.hpp"
#include "settings/settings.hpp"
#include "workers/machine.hpp"

namespace spindlecroft::model {

/// Returns for how long the machine has been booting: the time since it was rented. Right after a
/// failover, while running machines have not found the new leader yet, at most the usual boot time
/// of its type.
seconds boot_age(const workers::machine &machine, const leadership_term &term,
                 const settings::settings &settings, time_point now);

/// The longest time between two heartbeats of a working machine. Beyond it the machine is silent.
seconds silence_limit(const settings::settings &settings);

} // namespace spindlecroft::model
