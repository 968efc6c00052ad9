// What is due as time passes: checks of leases, cancels and machines, planning, and the fleet.
#include "constants.hpp"
#include "control/scheduler.hpp"
#include <algorithm>
#include <spdlog/spdlog.h>

namespace spindlecroft::control {

namespace c = constants;

std::vector<bidder *> scheduler::make_bidders(time_point now) {
    return planner_.bidders().current(now);
}

void scheduler::plan_bids(time_point now) {
    if (now < hold_until_)
        return;
    planner_.rebid_queued(now);
    inherit_along_chains();
    planner_.plan(now);
}

// --- time passes ---

void scheduler::check_leases(time_point now) {
    for (auto &[name, m] : state_.machines()) {
        if (now <= m.lease_bound || m.attempts.empty())
            continue;
        // Unanswered for longer than its lease: the worker has killed and forgotten its tasks,
        // and refuses commands of that incarnation.
        auto refs = m.attempts;
        for (auto &ref : refs)
            if (auto *j = state_.find_job(ref.job))
                if (auto i = j->live.find(ref.index);
                    i != j->live.end() && i->second.possibly_running())
                    state_.release_attempt(*j, ref.index, true);
    }
}

void scheduler::check_cancelled(time_point now) {
    for (auto &[id, j] : state_.jobs()) {
        if (!j.cancelled || j.live.empty())
            continue;
        for (auto &[i, a] : j.live) {
            auto m = state_.machines().find(a.machine);
            if (m == state_.machines().end() || m->second.deleting)
                continue;
            if (now - j.cancelled_at > c::cancel_delete_share * settings_.cancel_deadline)
                state_.request_deletion(m->second, "a cancelled task may still be there");
            else if (!m->second.heard_at ||
                     now - *m->second.heard_at > settings_.heartbeat_interval / 2)
                state_.mark_urgent(a.machine);
        }
    }
}

void scheduler::tick(time_point now) {
    if (!ready_)
        return;
    if (elapsed(last_check_, c::check_gap, now)) {
        last_check_ = now;
        check_leases(now);
        check_cancelled(now);
        review_failures();
        check_machines(now);
    }
    if ((state_.planning_wanted() && elapsed(last_plan_, c::plan_gap, now)) ||
        elapsed(last_plan_, c::plan_at_least, now)) {
        state_.clear_planning_request();
        last_plan_ = now;
        plan_bids(now);
    }
    if (elapsed(last_fleet_, c::rent_gap, now)) {
        last_fleet_ = now;
        plan_fleet(now);
    }
}

} // namespace spindlecroft::control
