// Periodic checks on machines whose agents do not respond: expired leases, and tasks of cancelled
// jobs that may still be running.
#pragma once
#include "common/time.hpp"
#include "model/cluster_state.hpp"
#include "settings/settings.hpp"

namespace spindlecroft::reconciliation {

/// Releases attempts whose lease has expired and enforces cancellations.
class lease_monitor {
  public:
    lease_monitor(model::cluster_state &state, const settings::settings &settings)
        : state_(state), settings_(settings) {}

    /// Releases the attempts on machines whose lease has certainly expired.
    void release_expired(time_point now);
    /// Has the tasks of cancelled jobs stopped, first by direct commands and finally by deleting
    /// their machines.
    void enforce_cancellations(time_point now);

  private:
    void enforce_cancellation(const catalog::job &job, const catalog::attempt &attempt,
                              time_point now);

    model::cluster_state &state_;
    const settings::settings &settings_;
};

} // namespace spindlecroft::reconciliation
