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

void scheduler::check_machines(time_point now) {
    struct tally {
        double up = 0, quiet = 0;
        // Many at once: rather they, or we, are cut off than dead.
        bool doubt(double least, double share) const { return up > least && quiet > share * up; }
    };
    std::map<std::string, tally> zones;
    tally all;
    seconds limit = model::silence_limit(settings_);
    auto silent_for = [&](const machine_t &m) {
        // Listed as running without a word to us counts from then. Guards against feeding a machine
        // that reaches no controller while our commands reach it: its lease ends with all we give.
        auto since =
            m.up ? std::max(m.own_heartbeat_at.value_or(state_.term().began), state_.term().began)
                 : m.running_at;
        return since ? now - *since : seconds{};
    };
    for (auto &[name, m] : state_.machines()) {
        m.silent = silent_for(m) > limit;
        if ((!m.up && !m.running_at) || m.deleting)
            continue;
        for (auto *t : {&all, &zones[m.zone]}) {
            ++t->up;
            // Guards against deleting a large zone that is cut off, machine by machine: they fall
            // silent one after another, and when the first is, the others have been quiet already.
            t->quiet += silent_for(m) > c::quiet_share * limit;
        }
        // Nothing waits in the queue of a machine that may be dead.
        if (m.silent && !m.queue.empty())
            state_.clear_queue(m);
    }
    bool all_doubt = all.doubt(3, c::silent_share);
    // After a cut the machines come back one after another.
    for (auto &[zone, t] : zones)
        if (t.doubt(2, c::silent_zone_share))
            zone_doubt_until_[zone] = now + c::cut_return;
    for (auto &[name, m] : state_.machines()) {
        if (m.deleting)
            continue;
        seconds age = model::boot_age(m, state_.term(), settings_, now);
        // In a zone that is cut off, tasks go on until their leases end, and the machines are of
        // use again after the cut: deleting them at once would end work for nothing.
        bool doubt = all_doubt || zone_doubt_until_[m.zone] > now;
        if (m.silent &&
            (!doubt || silent_for(m) > limit + settings_.lease_duration + c::cut_patience)) {
            state_.request_deletion(m, "silent");
        } else if (!m.up && m.known_type && !m.running_at &&
                   age > c::boot_late * m.type.boot_time + seconds{5}) {
            // Not if it is listed as running: then it is we who don't hear it, as after a failover
            // in a cut, and it counts as silent.
            state_.request_deletion(m, "never came up");
        } else if (m.reclaim_at && (now > *m.reclaim_at || m.attempts.empty())) {
            state_.request_deletion(m, "taken back");
        } else if (m.outbound_partition_since &&
                   now - *m.outbound_partition_since >
                       c::outbound_partition_leases * settings_.lease_duration) {
            // Whatever was there has lost its lease; what an earlier leader sent is proven gone
            // only by this, since the machine never shows our token.
            state_.request_deletion(m, "does not hear us");
        } else if (m.quarantined && m.attempts.empty()) {
            state_.request_deletion(m, "quarantined");
        } else if (m.up && m.speed_samples >= c::slow_samples && m.speed < c::slow_machine &&
                   m.attempts.empty()) {
            state_.request_deletion(m, "slow");
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
