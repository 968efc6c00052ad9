// How a heartbeat compares with what is already known of its machine.
#pragma once

namespace spindlecroft::reconciliation {

enum class heartbeat_freshness {
    fresh,
    stale,    // of the current incarnation, but a newer message came before it
    obsolete, // of an earlier incarnation, or of a machine that is gone
};

// The way a heartbeat came.
enum class heartbeat_origin {
    unsolicited,   // sent by the worker of its own accord
    command_reply, // in the answer to a direct command
};

} // namespace spindlecroft::reconciliation
