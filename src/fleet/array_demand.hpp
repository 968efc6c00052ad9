// What the work of arrays needs, by kind of task.
#pragma once
#include "common/time.hpp"
#include "model/cluster_state.hpp"
#include "settings/settings.hpp"
#include <string>
#include <vector>

namespace spindlecroft::fleet {

// Tasks of any jobs that need the same resources. Kinds are kept apart: room for small tasks is
// none for large ones.
struct array_demand {
    const job_spec *spec = nullptr; // of one of the jobs
    double tasks = 0;
    seconds work{}; // run time that is left
};

// The unfinished work of arrays, as far as their teams' limits let it run. The kinds with the
// largest tasks come first.
[[nodiscard]] std::vector<array_demand> collect_array_demand(const model::cluster_state &state,
                                                             const settings::settings &settings,
                                                             time_point now);

} // namespace spindlecroft::fleet
