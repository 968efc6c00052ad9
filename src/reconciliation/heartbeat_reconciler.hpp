// Squares a whole heartbeat with the stored state: what the worker says of itself, of its tasks,
// and of a reclaim of its machine.
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

class heartbeat_reconciler {
  public:
    heartbeat_reconciler(model::cluster_state &state, const settings::settings &settings,
                         failure_review &failures, done_listener on_done)
        : state_(state), settings_(settings), tasks_(state, failures, std::move(on_done)),
          partitions_(state, settings) {}

    // Takes in a heartbeat. One that is not fresh changes nothing but the description of its
    // machine.
    heartbeat_freshness reconcile(const heartbeat &received, heartbeat_origin origin,
                                  time_point now);
    // Neither the heartbeat nor what is possibly running on its machine names a task.
    [[nodiscard]] bool has_no_tasks(const heartbeat &received) const;
    // A heartbeat of this age was answered: the worker's lease may now last until then.
    void note_answer(const std::string &machine_name, heartbeat_freshness age, time_point now);

  private:
    // Notes the message itself; returns whether it is the first of a new incarnation.
    bool note_message(workers::machine &machine, const heartbeat &received, heartbeat_origin origin,
                      time_point now);
    [[nodiscard]] start_evidence reconcile_tasks(workers::machine &machine,
                                                 const heartbeat &received, bool new_incarnation,
                                                 time_point now);
    void reconcile_reclaim(workers::machine &machine, const heartbeat &received, time_point now);
    void begin_reclaim(workers::machine &machine, seconds notice, time_point now);

    model::cluster_state &state_;
    const settings::settings &settings_;
    task_reconciler tasks_;
    partition_detector partitions_;
};

} // namespace spindlecroft::reconciliation
