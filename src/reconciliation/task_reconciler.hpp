// Reconciles one task listed in, or missing from, a heartbeat with the attempt stored for it.
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

/// Called for each task that completes, so that its completion is made durable.
using done_listener = std::function<void(catalog::job &job, std::uint32_t index, time_point now)>;

/// Applies what a heartbeat shows about single tasks.
class task_reconciler {
  public:
    task_reconciler(model::cluster_state &state, failure_review &failures, done_listener on_done)
        : state_(state), failures_(failures), on_done_(std::move(on_done)) {}

    /// Applies a task that the machine's newest heartbeat lists.
    void reconcile_listed(workers::machine &machine, const task_status &status, time_point now);
    /// Handles an attempt that the machine's newest heartbeat, already applied, does not list.
    /// Returns whether the heartbeat shows that a start was not received.
    [[nodiscard]] start_evidence reconcile_missing(workers::machine &machine, catalog::job &job,
                                                   catalog::attempt &attempt,
                                                   workers::evidence seen, time_point now);

  private:
    /// Handles a listed task whose attempt differs from the stored one or has none stored.
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
    /// Updates the measured speed of the machine and the run-time estimates.
    void measure_run_time(workers::machine &machine, catalog::job &job, seconds run_time);
    void mark_task_done(catalog::job &job, std::uint32_t index, time_point now);
    /// Stores an attempt for a running task that has none, and requests its stop. Until it is
    /// stopped it must be accounted for like any other attempt.
    void adopt(workers::machine &machine, catalog::job &job, const task_status &status,
               time_point now);
    /// Removes the task from any queue and from the waiting tasks of its job.
    void remove_from_waiting(catalog::job &job, std::uint32_t index);

    model::cluster_state &state_;
    failure_review &failures_;
    done_listener on_done_;
};

} // namespace spindlecroft::reconciliation
