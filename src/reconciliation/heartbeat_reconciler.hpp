// Reconciles a whole heartbeat with the stored state: what the agent reports about itself, its
// tasks, and a reclaim of its machine.
#pragma once
#include "common/time.hpp"
#include "model/cluster_state.hpp"
#include "reconciliation/failure_review.hpp"
#include "reconciliation/heartbeat_freshness.hpp"
#include "reconciliation/partition_detector.hpp"
#include "reconciliation/task_reconciler.hpp"
#include "settings/settings.hpp"
#include "wire/types.hpp"
#include <string>
#include <utility>

namespace spindlecroft::reconciliation {

/// Applies heartbeats to the cluster state.
class heartbeat_reconciler {
  public:
    heartbeat_reconciler(model::cluster_state &state, const settings::settings &settings,
                         failure_review &failures, done_listener on_done)
        : state_(state), settings_(settings), tasks_(state, failures, std::move(on_done)),
          partitions_(state, settings) {}

    /// Applies a heartbeat. One that is not fresh updates only the description of its machine.
    heartbeat_freshness reconcile(const heartbeat &received, heartbeat_origin origin,
                                  time_point now);
    /// Whether the heartbeat lists no task, exited ones excepted, and no attempt is possibly
    /// running on its machine.
    [[nodiscard]] bool has_no_tasks(const heartbeat &received) const;
    /// Notes that a heartbeat was answered now, which may have renewed the agent's lease.
    void note_answer(const std::string &machine_name, heartbeat_freshness freshness,
                     time_point now);

  private:
    /// Records the message itself. Returns whether it is the first of a new incarnation.
    bool note_message(workers::machine &machine, const heartbeat &received, heartbeat_origin origin,
                      time_point now);
    [[nodiscard]] start_evidence reconcile_tasks(workers::machine &machine,
                                                 const heartbeat &received, bool is_new_incarnation,
                                                 time_point now);
    void reconcile_reclaim(workers::machine &machine, const heartbeat &received, time_point now);
    void begin_reclaim(workers::machine &machine, seconds notice, time_point now);

    model::cluster_state &state_;
    const settings::settings &settings_;
    task_reconciler tasks_;
    partition_detector partitions_;
};

} // namespace spindlecroft::reconciliation
