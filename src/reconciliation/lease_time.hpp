// Bounds on an agent's lease as measured by the leader's clock.
#pragma once
#include "common/time.hpp"
#include "constants.hpp"
#include "settings/settings.hpp"

namespace spindlecroft::reconciliation {

/// The longest time that a lease may last, since the agent's clock may run slower than the
/// leader's.
[[nodiscard]] inline seconds max_lease_duration(const settings::settings &settings) {
    return settings.lease_duration * (1 + constants::max_clock_drift) + constants::lease_slack;
}

/// The time at which a lease renewed at `renewed_at` has certainly expired.
[[nodiscard]] inline time_point latest_lease_end(const settings::settings &settings,
                                                 time_point renewed_at) {
    return renewed_at + settings.lease_duration * (1 + constants::max_clock_drift) +
           constants::lease_slack;
}

} // namespace spindlecroft::reconciliation
