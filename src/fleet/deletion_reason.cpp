// Texts of deletion reasons in log messages.
#include "fleet/deletion_reason.hpp"

namespace spindlecroft::fleet {

const char *to_text(deletion_reason reason) {
    switch (reason) {
    case deletion_reason::idle:
        return "idle";
    case deletion_reason::failed:
        return "failed";
    case deletion_reason::silent:
        return "silent";
    case deletion_reason::never_came_up:
        return "never came up";
    case deletion_reason::reclaimed:
        return "reclaimed by the cloud";
    case deletion_reason::outbound_partition:
        return "outbound partition";
    case deletion_reason::quarantined:
        return "quarantined";
    case deletion_reason::slow:
        return "slow";
    }
    return "";
}

} // namespace spindlecroft::fleet
