// Squares a single task of a heartbeat with the attempt that the state holds for it.
#pragma once
#include "common/time.hpp"
#include "model/cluster_state.hpp"
#include "reconciliation/failure_review.hpp"
#include "reconciliation/partition_detector.hpp"
#include "wire/types.hpp"
#include "workers/attempt_liveness.hpp"
#include <cstdint>
#include <functional>
#include <utility>

namespace spindlecroft::reconciliation {

// Told of each task that becomes done, so that this is made durable.
using done_listener = std::function<void(catalog::job &job, std::uint32_t index, time_point now)>;

class task_reconciler {
  public:
    task_reconciler(model::cluster_state &state, failure_review &failures, done_listener on_done)
        : state_(state), failures_(failures), on_done_(std::move(on_done)) {}

    // The machine's newest heartbeat lists the task.
    void reconcile_listed(workers::machine &machine, const task_status &status, time_point now);
    // The machine's newest heartbeat, already noted, does not list the attempt.
    [[nodiscard]] start_evidence reconcile_missing(workers::machine &machine, catalog::job &job,
                                                   catalog::attempt &attempt,
                                                   workers::evidence seen, time_point now);

  private:
    // The task is listed in an attempt that is not the one we know, if we know any.
    void reconcile_unknown(workers::machine &machine, catalog::job *job, const task_status &status,
                           time_point now);
    void reconcile_unknown_exit(workers::machine &machine, catalog::job *job,
                                const task_status &status, time_point now);
    void reconcile_running(workers::machine &machine, const catalog::job &job,
                           catalog::attempt &attempt, time_point now);
    void reconcile_exited(workers::machine &machine, catalog::job &job, catalog::attempt &attempt,
                          const task_status &status, time_point now);
    void attempt_completed(workers::machine &machine, catalog::job &job,
                           const catalog::attempt &attempt, time_point now);
    void measure_run_time(workers::machine &machine, catalog::job &job, seconds ran);
    void mark_task_done(catalog::job &job, std::uint32_t index, time_point now);
    // A task that runs without our knowing must count everywhere until it is stopped.
    void adopt(workers::machine &machine, catalog::job &job, const task_status &status,
               time_point now);
    // The task is neither queued nor waiting any more.
    void remove_from_waiting(catalog::job &job, std::uint32_t index);

    model::cluster_state &state_;
    failure_review &failures_;
    done_listener on_done_;
};

} // namespace spindlecroft::reconciliation
