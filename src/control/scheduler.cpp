// Taking over, jobs, and the calls forwarded to the parts that reconcile workers.
#include "control/scheduler.hpp"
#include "constants.hpp"
#include <algorithm>
#include <fmt/format.h>

namespace spindlecroft::control {

using catalog::attempt_phase;
namespace c = constants;

std::string active_key(const std::string &job) {
    return active_prefix + job;
}
std::string ended_key(const std::string &job) {
    return ended_prefix + job;
}
std::string placed_key(const std::string &segment) {
    return placed_prefix + segment;
}
std::string done_key(const std::string &record) {
    return done_prefix + record;
}
std::string rental_key(const std::string &round) {
    return rental_prefix + round;
}

scheduler::scheduler(const settings::settings &s, std::vector<machine_type> types)
    : settings_(s), state_(settings_, std::move(types)), teams_(s.teams) {}

// --- taking over ---

void scheduler::begin(time_point now, std::uint64_t token, wall_clock clock) {
    state_.begin_term({token, token, now, clock});
}

void scheduler::load_job(const std::string &id, const wire::job_record &r, std::uint64_t version,
                         time_point now) {
    job_t j;
    j.spec = r.spec;
    j.version = version;
    j.accepted_at = std::min(now, state_.term().clock.to_steady(r.accepted_at));
    j.done.assign(r.spec.tasks, false);
    j.done_durable.assign(r.spec.tasks, false);
    j.own_priority = r.spec.priority;
    auto &kept = state_.add_job(id, std::move(j));
    if (kept.spec.shape == job_shape::array || !r.cancelled)
        state_.note_workload(kept.spec, now);
    add_dependencies(kept, now);
    if (r.cancelled && !kept.cancelled)
        cancel_job(kept, r.cancelled_at, now);
}

void scheduler::load_done(const std::string &record, const std::vector<wire::done_part> &parts) {
    auto &kept = done_records_[record];
    kept.open = false;
    for (auto &p : parts) {
        auto *j = state_.find_job(p.job);
        if (!j)
            continue;
        kept.parts.insert({p.job, p.part});
        kept.bytes += wire::done_bytes(p.job, p.bits.size());
        j->done_in[p.part] = record;
        for (std::size_t k = 0; k < p.bits.size(); ++k) {
            std::size_t i = p.part * c::part_done + k;
            if (p.bits[k] && i < j->done.size() && !j->done[i]) {
                j->done[i] = j->done_durable[i] = true;
                ++j->done_count;
                ++j->done_seen;
            }
        }
    }
    kept.too_large = kept.bytes > most_record_bytes();
}

void scheduler::load_placed(const std::string &name, const std::vector<wire::placed_task> &tasks,
                            time_point now) {
    auto &kept = segments_[name];
    kept.open = false;
    for (auto &t : tasks) {
        auto *j = state_.find_job(t.job);
        if (!j || t.index >= j->spec.tasks || j->done[t.index])
            continue;
        // An older record may still name an attempt that was proven gone before a newer one was
        // made: attempts only grow.
        if (auto i = j->live.find(t.index); i != j->live.end()) {
            if (i->second.number >= t.attempt)
                continue;
            state_.release_attempt(*j, t.index, false);
        }
        kept.tasks.push_back(t);
        // Guards against a second start: the task may be there, or a start may be under way,
        // until the machine's own heartbeat under our token says otherwise.
        attempt_t a;
        a.task = {t.job, t.index};
        a.number = t.attempt;
        a.machine = t.machine;
        a.phase = attempt_phase::sent;
        a.inherited = true;
        a.created_at = now;
        a.estimate = state_.estimates().expected_run_time(j->spec);
        a.stop_wanted = j->cancelled;
        state_.ensure_machine(t.machine, now);
        state_.add_attempt(*j, std::move(a));
    }
}

void scheduler::load_unreadable_placements(time_point now) {
    hold_until_ = now + settings_.lease_duration * (1 + c::clock_drift) + c::lease_slack;
}

// The cloud is asked once more, and tells the machines' names.
void scheduler::load_rental(const std::string &round, const wire::rental_record &r,
                            time_point now) {
    rental_rounds_[round].written = true;
    for (auto &q : r.requests) {
        auto &s = rentals_[q.request];
        s.what = q;
        s.round = round;
        s.asked_at = now - std::max(seconds{}, state_.term().clock.to_wall(now) - r.at);
        s.durable = true;
    }
}

void scheduler::loaded(time_point now) {
    for (auto &[id, j] : state_.jobs()) {
        std::uint32_t top = 0;
        for (std::uint32_t i = 0; i < j.spec.tasks; ++i)
            if (j.done[i] || j.live.count(i))
                top = i + 1;
        j.next_fresh = top;
        for (std::uint32_t i = 0; i < top; ++i)
            if (!j.done[i] && !j.live.count(i))
                j.again.insert(i);
    }
    ready_ = true;
    state_.request_planning();
    commands_.begin(now);
    last_fleet_ = now; // heartbeats come first, renting after
}

// --- jobs ---

void scheduler::on_job(const std::string &id, const wire::job_record &r, std::uint64_t version,
                       time_point now) {
    state_.request_planning();
    auto *j = state_.find_job(id);
    if (!j) {
        load_job(id, r, version, now);
        return;
    }
    if (version < j->version)
        return;
    j->version = version;
    if (r.cancelled && !j->cancelled)
        cancel_job(*j, r.cancelled_at, now);
}

void scheduler::on_cancel(const cancel_notice &n, time_point now) {
    state_.request_planning();
    auto *j = state_.find_job(n.job);
    if (!j || n.revision < j->version)
        return;
    j->version = n.revision;
    if (!j->cancelled)
        cancel_job(*j, n.at, now);
}

void scheduler::cancel_job(job_t &j, std::optional<wall_time> told_at, time_point now) {
    j.cancelled = true;
    // The user was told when the record was written, not when we hear of it.
    j.cancelled_at = now;
    if (told_at)
        j.cancelled_at = std::min(now, state_.term().clock.to_steady(*told_at) -
                                           2 * settings_.clock_bound); // two clocks
    while (!j.queued.empty())
        state_.remove_from_queue(j, j.queued.begin()->first);
    std::vector<std::uint32_t> indices;
    for (auto &[i, a] : j.live)
        indices.push_back(i);
    for (auto i : indices) {
        auto &a = j.live[i];
        if (a.phase == attempt_phase::committing || a.phase == attempt_phase::committed ||
            a.phase == attempt_phase::exited)
            state_.release_attempt(j, i, false);
        else
            state_.request_stop(a, seconds{});
    }
    follow(graph_.note_end(j.spec.id, {job_state::cancelled, now}), now);
}

void scheduler::on_token(std::uint64_t token) {
    state_.raise_token(token);
}

// --- heartbeats ---

scheduler::heartbeat_age scheduler::on_heartbeat(const heartbeat &r, time_point now, bool reply) {
    auto origin = reply ? reconciliation::heartbeat_origin::command_reply
                        : reconciliation::heartbeat_origin::own;
    return heartbeats_.reconcile(r, origin, now);
}

bool scheduler::may_place(const job_t &j, time_point now) const {
    if (j.waiting() == 0 || now < j.backoff_until)
        return false;
    return failure_review_.may_retry(j, now);
}

void scheduler::load_suspects(const std::vector<std::string> &jobs, time_point now) {
    suspects_written_ = jobs;
    failure_review_.load_suspects(jobs, now);
}

// --- commands ---

static reconciliation::start_permission start_permission_of(bool starts) {
    return starts ? reconciliation::start_permission::granted
                  : reconciliation::start_permission::withheld;
}

std::vector<command> scheduler::commands_for_answer(const std::string &machine, time_point now,
                                                    bool starts) {
    return commands_.for_answer(machine, start_permission_of(starts), now);
}

bool scheduler::holds_nothing(const heartbeat &r) const {
    return heartbeats_.holds_nothing(r);
}

std::vector<command> scheduler::direct_commands_for(const std::string &machine, time_point now,
                                                    bool starts) {
    return commands_.for_direct_command(machine, start_permission_of(starts), now);
}

bool scheduler::starts_wanted(const std::vector<command> &commands) const {
    return commands_.starts_wanted(commands);
}

void scheduler::command_resolved(const std::string &machine) {
    commands_.resolved(machine);
}

void scheduler::command_unresolved(const std::string &machine, std::uint64_t token,
                                   std::uint64_t incarnation) {
    commands_.unresolved(machine, token, incarnation);
}

bool scheduler::wants_token_raise(time_point now) {
    return commands_.wants_token_raise(now);
}

void scheduler::answered(const std::string &machine, heartbeat_age age, time_point now) {
    heartbeats_.note_answer(machine, age, now);
}

// --- views ---

std::optional<scheduler::progress> scheduler::job_progress(const std::string &id) const {
    auto *j = state_.find_job(id);
    if (!j)
        return {};
    return progress{j->done_count, j->running()};
}

std::string scheduler::summary() const {
    std::size_t up = 0, booting = 0, spot = 0, queued = 0, attempts = 0, waiting = 0, running = 0;
    for (auto &[n, m] : state_.machines()) {
        m.up ? ++up : ++booting;
        if (m.spot)
            ++spot;
        queued += m.queue.size();
        attempts += m.attempts.size();
    }
    for (auto &[n, j] : state_.jobs()) {
        waiting += j.waiting();
        running += j.running();
    }
    return fmt::format("machines {} up {} booting ({} spot), jobs {}, tasks {} placed {} running "
                       "{} queued {} waiting, {} stopped to make room",
                       up, booting, spot, state_.jobs().size(), attempts, running, queued, waiting,
                       preempted_tasks_);
}

} // namespace spindlecroft::control
