// The proofs that an attempt is gone.
#include "workers/proven_gone.hpp"

namespace spindlecroft::workers {

using catalog::attempt_phase;

namespace {

// That a task is done is a fact, which is being recorded.
bool is_result(const catalog::attempt &attempt) {
    return attempt.phase == attempt_phase::exited && attempt.cause == exit_cause::done;
}

verdict gone_if(bool proven) {
    return proven ? verdict::gone : verdict::still_possible;
}

// No heartbeat of the worker has listed the attempt yet.
verdict judge_unlisted_start(const catalog::attempt &attempt, const machine &machine,
                             const observation &observed) {
    if (attempt.inherited)
        return gone_if(machine.token >= observed.first_token);
    bool answer_dropped =
        attempt.sent_incarnation == machine.incarnation && machine.sequence > attempt.sent_sequence;
    if (!answer_dropped)
        return verdict::still_possible;
    if (attempt.stop_requested || !machine.usable())
        return verdict::gone;
    return verdict::send_again;
}

verdict judge_missing(const catalog::attempt &attempt, const machine &machine,
                      const observation &observed) {
    switch (attempt.phase) {
    case attempt_phase::committing:
    case attempt_phase::committed:
        return verdict::still_possible; // not sent yet
    case attempt_phase::exited:
        // Forgotten by the worker, or its incarnation is over.
        return gone_if(!is_result(attempt));
    case attempt_phase::sent:
        if (machine.has_unacknowledged_command(observed.now))
            return verdict::still_possible; // a start may still arrive
        return judge_unlisted_start(attempt, machine, observed);
    case attempt_phase::fetching:
    case attempt_phase::running:
    case attempt_phase::checkpointing:
        return gone_if(!machine.has_unacknowledged_command(observed.now));
    }
    return verdict::still_possible;
}

} // namespace

verdict judge(const catalog::attempt &attempt, const machine &machine,
              const observation &observed) {
    switch (observed.seen) {
    case evidence::missing_from_heartbeat:
        return judge_missing(attempt, machine, observed);
    case evidence::new_incarnation:
        if (attempt.possibly_running() && !attempt.inherited)
            return verdict::gone;
        return judge_missing(attempt, machine, observed);
    case evidence::lease_expired:
        return gone_if(attempt.possibly_running());
    case evidence::machine_removed:
        return gone_if(!is_result(attempt));
    }
    return verdict::still_possible;
}

} // namespace spindlecroft::workers
