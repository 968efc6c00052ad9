// The single rule that decides whether an attempt is proven gone, so that its task may be started
// again.
//
// Releasing an attempt too early runs its task twice; never releasing it loses the task. An attempt
// that was sent is gone only by one of these proofs:
//  - The newest heartbeat of its agent does not list it, and no start can still arrive: no direct
//    command is unacknowledged and no answer with starts is in flight. If no heartbeat has listed
//    it yet, one of these must hold as well:
//      - it came from an earlier leader, and the agent has seen a token of this leader, after which
//        it refuses commands of earlier ones;
//      - the start was in the answer to an older heartbeat of the same incarnation: that answer was
//        dropped, and an agent never executes an answer late.
//  - Its agent began a new incarnation. The previous one took every task with it, and commands
//    addressed to it are refused. This proves nothing about a placement by an earlier leader, since
//    the incarnation that its start was addressed to is unknown.
//  - The agent's lease has expired: it has killed and forgotten its tasks.
//  - The machine was removed, or the cloud lists it as failed.
#pragma once
#include "catalog/job.hpp"
#include "common/time.hpp"
#include "workers/machine.hpp"
#include <cstdint>

namespace spindlecroft::workers {

/// What was observed of the machine that runs the attempt.
enum class evidence {
    missing_from_heartbeat, ///< Its newest heartbeat, already applied, does not list the attempt.
    new_incarnation,        ///< The same, and that heartbeat begins a new incarnation.
    lease_expired,          ///< No heartbeat was answered for longer than the lease lasts.
    machine_removed,        ///< The cloud has deleted the machine, or lists it as failed.
};

/// What the observation proves about the attempt.
enum class attempt_liveness {
    possibly_live, ///< It may be running, or its result is being recorded.
    gone,          ///< Its task may be placed again.
    start_dropped, ///< Its start was lost; the same attempt may be sent to the machine again.
};

/// An observation together with the leadership and the time in which it was made.
struct observation {
    evidence seen = evidence::missing_from_heartbeat;
    std::uint64_t first_token = 0; ///< The fencing token with which the current term began.
    time_point now{};
};

/// Returns what the observation proves. The machine must already reflect the observation.
[[nodiscard]] attempt_liveness assess_attempt(const catalog::attempt &attempt,
                                              const machine &machine, const observation &observed);

} // namespace spindlecroft::workers
