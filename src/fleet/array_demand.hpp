// Demand of arrays for machines, by the resources that their tasks need.
#pragma once
#include "common/time.hpp"
#include "model/cluster_state.hpp"
#include "settings/settings.hpp"
#include <string>
#include <vector>

namespace spindlecroft::fleet {

/// The unfinished tasks, of any number of jobs, that need the same resources. Demand is not summed
/// across different sizes, since small free slots are useless for large tasks.
struct array_demand {
    const job_spec *spec = nullptr; ///< Of one of the jobs.
    double tasks = 0;
    seconds work{}; ///< Sum of the remaining run times.
};

/// Returns the unfinished work of arrays, as far as the limits of their teams let it run, largest
/// tasks first.
[[nodiscard]] std::vector<array_demand> collect_array_demand(const model::cluster_state &state,
                                                             const settings::settings &settings,
                                                             time_point now);

} // namespace spindlecroft::fleet
