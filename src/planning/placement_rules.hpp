// Where and when one more task of a job may be placed, whatever machines bid for it.
#pragma once
#include "model/cluster_state.hpp"
#include <string>
#include <vector>

namespace spindlecroft::planning {

// For each of cluster_state::machine_classes(), in that order: whether a task may be there. Bids
// look at this for every machine, so it is decided once for each class.
using allowed_classes = std::vector<char>;

// The job may run on machines of this type.
[[nodiscard]] bool type_allowed(const job_spec &spec, const std::string &type);

// The classes allowed for one more task of the job, by its own rules and its other tasks' zones.
[[nodiscard]] allowed_classes allowed_classes_for(const model::cluster_state &state,
                                                  const catalog::job &job);

// The job has a task that may be placed at this time. A suspect job is retried one task at a time.
[[nodiscard]] bool may_place(const model::cluster_state &state, const catalog::job &job,
                             time_point now);

} // namespace spindlecroft::planning
