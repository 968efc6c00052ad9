// How long a machine can be said to have been booting.
#pragma once
#include "common/time.hpp"
#include "model/cluster_state.hpp"
#include "settings/settings.hpp"
#include "workers/machine.hpp"

namespace spindlecroft::model {

// The time since the machine was rented. Right after a failover, while machines that are up have
// not found the new leader yet, at most the usual boot time of the type.
seconds boot_age(const workers::machine &machine, const leadership_term &term,
                 const settings::settings &settings, time_point now);

// A machine without a word for longer than this is silent: heartbeats take no longer.
seconds silence_limit(const settings::settings &settings);

} // namespace spindlecroft::model
