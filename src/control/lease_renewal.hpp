// Decides whether the leases of workers that have tasks may be renewed.
#pragma once
#include "membership/member.hpp"
#include "settings/settings.hpp"

namespace spindlecroft::control {

/// Returns false if another controller may have confirmed a cancellation so long ago that its tasks
/// would run past the cancel deadline if their worker's lease were renewed once more.
[[nodiscard]] inline bool may_renew_leases(const membership::member &member,
                                           const settings::settings &settings, time_point now) {
    return membership::may_renew_lease(now, member.cancels_complete_until(),
                                       settings.lease_duration, settings.cancel_deadline);
}

} // namespace spindlecroft::control
