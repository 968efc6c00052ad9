// Takes over the cloud's list of machines into what is known of the cluster.
#pragma once
#include "common/time.hpp"
#include "model/cluster_state.hpp"
#include "settings/settings.hpp"
#include "wire/types.hpp"
#include <vector>

namespace spindlecroft::fleet {

// Takes over a complete list that was asked for at `asked_at`: listed machines are known from then
// on, failed ones are deleted, and those that should be listed and are not are gone.
void apply_machine_list(model::cluster_state &state, const settings::settings &settings,
                        const std::vector<listed_machine> &listed_machines, time_point asked_at,
                        time_point now);

} // namespace spindlecroft::fleet
