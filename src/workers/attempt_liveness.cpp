// Decides whether an attempt is proven gone; the header lists the proofs.
#include "workers/attempt_liveness.hpp"

namespace spindlecroft::workers {

using catalog::attempt_phase;

namespace {

// A completed attempt is never given up: its result is being recorded.
bool is_result(const catalog::attempt &attempt) {
    return attempt.phase == attempt_phase::exited && attempt.cause == exit_cause::done;
}

attempt_liveness gone_if(bool proven) {
    return proven ? attempt_liveness::gone : attempt_liveness::possibly_live;
}

// For an attempt that no heartbeat has listed yet.
attempt_liveness assess_unlisted_start(const catalog::attempt &attempt, const machine &machine,
                                       const observation &observed) {
    if (attempt.inherited)
        return gone_if(machine.token >= observed.first_token);
    bool answer_dropped =
        attempt.sent_incarnation == machine.incarnation && machine.sequence > attempt.sent_sequence;
    if (!answer_dropped)
        return attempt_liveness::possibly_live;
    if (attempt.stop_requested || !machine.is_usable())
        return attempt_liveness::gone;
    return attempt_liveness::start_dropped;
}

attempt_liveness assess_missing(const catalog::attempt &attempt, const machine &machine,
                                const observation &observed) {
    switch (attempt.phase) {
    case attempt_phase::committing:
    case attempt_phase::committed:
        return attempt_liveness::possibly_live; // its start was not sent yet
    case attempt_phase::exited:
        // The agent has removed its record, or the incarnation has ended.
        return gone_if(!is_result(attempt));
    case attempt_phase::sent:
        if (machine.has_unacknowledged_command(observed.now))
            return attempt_liveness::possibly_live; // a start may still arrive
        return assess_unlisted_start(attempt, machine, observed);
    case attempt_phase::fetching:
    case attempt_phase::running:
    case attempt_phase::checkpointing:
        return gone_if(!machine.has_unacknowledged_command(observed.now));
    }
    return attempt_liveness::possibly_live;
}

} // namespace

attempt_liveness assess_attempt(const catalog::attempt &attempt, const machine &machine,
                                const observation &observed) {
    switch (observed.seen) {
    case evidence::missing_from_heartbeat:
        return assess_missing(attempt, machine, observed);
    case evidence::new_incarnation:
        if (attempt.possibly_running() && !attempt.inherited)
            return attempt_liveness::gone;
        return assess_missing(attempt, machine, observed);
    case evidence::lease_expired:
        return gone_if(attempt.possibly_running());
    case evidence::machine_removed:
        return gone_if(!is_result(attempt));
    }
    return attempt_liveness::possibly_live;
}

} // namespace spindlecroft::workers
