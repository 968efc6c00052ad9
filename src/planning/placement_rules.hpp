// Rules for where and when one more task of a job may be placed, independent of the bids.
#pragma once
#include "model/cluster_state.hpp"
#include <string>
#include <vector>

namespace spindlecroft::planning {

/// For each of cluster_state::machine_classes(), in that order, whether a task may run on machines
/// of the class. Bids check this for every machine, so it is computed once for each class.
using allowed_classes = std::vector<char>;

/// Returns whether the job may run on machines of this type.
[[nodiscard]] bool type_allowed(const job_spec &spec, const std::string &type);

/// Returns the classes allowed for one more task of the job, by the job's own rules and the zones
/// of its other tasks.
[[nodiscard]] allowed_classes allowed_classes_for(const model::cluster_state &state,
                                                  const catalog::job &job);

/// Returns whether the job has a task that may be placed now. A suspect job is retried one task at
/// a time.
[[nodiscard]] bool may_place(const model::cluster_state &state, const catalog::job &job,
                             time_point now);

} // namespace spindlecroft::planning
