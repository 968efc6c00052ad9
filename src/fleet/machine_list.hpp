// Applies the cloud's list of machines to the cluster state.
#pragma once
#include "common/time.hpp"
#include "model/cluster_state.hpp"
#include "settings/settings.hpp"
#include "wire/types.hpp"
#include <vector>

namespace spindlecroft::fleet {

/// Applies a complete list that was requested at `requested_at`: listed machines become known,
/// failed ones are deleted, and machines that the list should contain but does not are removed.
void apply_machine_list(model::cluster_state &state, const settings::settings &settings,
                        const std::vector<listed_machine> &listed_machines, time_point requested_at,
                        time_point now);

} // namespace spindlecroft::fleet
