// Why the scheduler deletes a machine.
#pragma once

namespace spindlecroft::fleet {

enum class deletion_reason {
    idle,               // without work for longer than its boot cost justifies
    failed,             // the cloud lists it as failed
    silent,             // no heartbeat for too long
    never_came_up,      // its worker did not report long after the usual boot time
    reclaimed,          // the cloud takes the spot instance back
    outbound_partition, // its heartbeats arrive, but nothing reaches it
    quarantined,        // tasks fail on it that run elsewhere
    slow,               // measured to be much slower than its type
};

// The reason as the log tells it.
[[nodiscard]] const char *to_text(deletion_reason reason);

} // namespace spindlecroft::fleet
