// Whether the leases of workers with tasks may be renewed at this time.
#pragma once
#include "membership/member.hpp"
#include "settings/settings.hpp"

namespace spindlecroft::control {

// False: a cancel may have been confirmed elsewhere so long ago that its tasks would outlive the
// time allowed for it, were their leases renewed once more.
[[nodiscard]] inline bool may_renew_leases(const membership::member &member,
                                           const settings::settings &settings, time_point now) {
    return membership::may_renew_lease(now, member.cancels_complete_until(),
                                       settings.lease_duration, settings.cancel_deadline);
}

} // namespace spindlecroft::control
