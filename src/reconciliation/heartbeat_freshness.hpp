// How a heartbeat relates to what is already known about its machine.
#pragma once

namespace spindlecroft::reconciliation {

/// How recent a heartbeat is compared with the messages already received from its machine.
enum class heartbeat_freshness {
    fresh,    ///< Newer than every message received before.
    stale,    ///< Of the current incarnation, but a newer message arrived first.
    obsolete, ///< Of an earlier incarnation or a removed machine.
};

/// How a heartbeat was transmitted.
enum class heartbeat_origin {
    unsolicited,   ///< Sent by the agent on its own initiative.
    command_reply, ///< Contained in the reply to a direct command.
};

} // namespace spindlecroft::reconciliation
