// Reasons for deleting a machine.
#pragma once

namespace spindlecroft::fleet {

/// Why the leader deletes a machine.
enum class deletion_reason {
    idle,               ///< Without work for longer than its boot cost justifies.
    failed,             ///< The cloud lists it as failed.
    silent,             ///< No heartbeat for too long.
    never_came_up,      ///< No message from its agent long after the usual boot time.
    reclaimed,          ///< The cloud reclaims the spot instance.
    outbound_partition, ///< Its heartbeats arrive, but nothing reaches it.
    quarantined,        ///< Tasks fail on it that run elsewhere.
    slow,               ///< Measured to be much slower than its type.
};

/// Returns the text of the reason for log messages.
[[nodiscard]] const char *to_text(deletion_reason reason);

} // namespace spindlecroft::fleet
