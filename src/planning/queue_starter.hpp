// Creates attempts for the tasks in a machine's queue as soon as they fit on it.
#pragma once
#include "model/cluster_state.hpp"
#include "planning/preemption.hpp"
#include <functional>

namespace spindlecroft::planning {

/// Called for each new attempt, which no placement record covers yet.
using attempt_created_callback =
    std::function<void(const catalog::task_ref &task, job_shape shape)>;

/// Starts queued tasks on their machines.
class queue_starter {
  public:
    queue_starter(model::cluster_state &state, preemption &preempting,
                  attempt_created_callback on_created)
        : state_(state), preemption_(preempting), on_created_(std::move(on_created)) {}

    /// Starts what fits from the queues of the machines that changed since their queue was last
    /// examined. At full size most queues still wait for the same task to end as in the previous
    /// round, so unchanged machines are skipped.
    void start_all(time_point now);

  private:
    void start_queued(workers::machine &machine, time_point now);
    [[nodiscard]] machine_load compute_load(workers::machine &machine);
    void start_first(workers::machine &machine, catalog::job &job, time_point now);

    model::cluster_state &state_;
    preemption &preemption_;
    attempt_created_callback on_created_;
};

} // namespace spindlecroft::planning
