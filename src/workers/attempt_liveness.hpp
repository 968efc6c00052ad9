// The one rule that says when an attempt is proven gone, so that its task may be started again.
//
// Releasing an attempt too early runs its task twice; releasing it never loses the task. An attempt
// that was sent is gone only by one of these proofs:
//  - Its worker's newest heartbeat does not list it, and no start can still arrive: no direct
//    command is unacknowledged and no answer with starts is on its way. If no heartbeat listed it
//    yet, one of these must hold as well:
//      - it came from an earlier leader, and the worker has seen a token of this leader, after
//        which it refuses commands of earlier ones;
//      - the start was in the answer to an older heartbeat of the same incarnation: that answer was
//        dropped, and a worker executes no answer late.
//  - Its worker began a new incarnation. The old one took every task with it, and commands meant
//    for it are refused. This proves nothing of what an earlier leader placed, since nobody knows
//    for which incarnation that was.
//  - The worker's lease is over: it has killed and forgotten its tasks.
//  - The machine was removed, or the cloud lists it as failed.
#pragma once
#include "catalog/job.hpp"
#include "common/time.hpp"
#include "workers/machine.hpp"
#include <cstdint>

namespace spindlecroft::workers {

// What was observed of the machine that the attempt is on.
enum class evidence {
    missing_from_heartbeat, // its newest heartbeat, already noted, does not list the attempt
    new_incarnation,        // the same, and that heartbeat is the first of a new incarnation
    lease_expired,          // nobody answered it for longer than its lease lasts
    machine_removed,        // the cloud has deleted the machine, or lists it as failed
};

// What follows for the attempt.
enum class attempt_liveness {
    possibly_live, // it may run, or its result is being recorded
    gone,          // its task may be placed again
    start_dropped, // its start was dropped: it may be sent to the same machine again
};

struct observation {
    evidence seen = evidence::missing_from_heartbeat;
    std::uint64_t first_token = 0; // the token with which the present leadership began
    time_point now{};
};

[[nodiscard]] attempt_liveness assess_attempt(const catalog::attempt &attempt,
                                              const machine &machine, const observation &observed);

} // namespace spindlecroft::workers
