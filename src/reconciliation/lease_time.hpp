// How long a worker's lease may last by our clock.
#pragma once
#include "common/time.hpp"
#include "constants.hpp"
#include "settings/settings.hpp"

namespace spindlecroft::reconciliation {

// The longest that a lease may last, given that the worker's clock may be slower than ours.
[[nodiscard]] inline seconds max_lease_duration(const settings::settings &settings) {
    return settings.lease_duration * (1 + constants::max_clock_drift) + constants::lease_slack;
}

// When a lease that is renewed at `renewed_at` has surely ended.
[[nodiscard]] inline time_point latest_lease_end(const settings::settings &settings,
                                                 time_point renewed_at) {
    return renewed_at + settings.lease_duration * (1 + constants::max_clock_drift) +
           constants::lease_slack;
}

} // namespace spindlecroft::reconciliation
