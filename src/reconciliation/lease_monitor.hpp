// Periodic checks on machines that are not heard from: leases that expired, and cancelled tasks
// that may still be there.
#pragma once
#include "common/time.hpp"
#include "model/cluster_state.hpp"
#include "settings/settings.hpp"

namespace spindlecroft::reconciliation {

class lease_monitor {
  public:
    lease_monitor(model::cluster_state &state, const settings::settings &settings)
        : state_(state), settings_(settings) {}

    // Gives up the attempts on machines that were unanswered for longer than their lease.
    void release_expired(time_point now);
    // Presses for an end of cancelled tasks: by a direct command at first, at last by deleting the
    // machine.
    void enforce_cancellations(time_point now);

  private:
    void enforce_cancellation(const catalog::job &job, const catalog::attempt &attempt,
                              time_point now);

    model::cluster_state &state_;
    const settings::settings &settings_;
};

} // namespace spindlecroft::reconciliation
