// Taking over, heartbeats and the commands that answer them.
#include "control/scheduler.hpp"
#include "constants.hpp"
#include <algorithm>
#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace spindlecroft::control {

using catalog::attempt_phase;
namespace c = constants;

scheduler::scheduler(const settings::settings &settings, std::vector<machine_type> types)
    : settings_(settings), state_(settings_, std::move(types)),
      planner_(settings_, state_, [this](const catalog::task_ref &task, job_shape shape) {
          placements_.add(task, shape);
      }) {}

// --- taking over ---

void scheduler::begin(time_point now, std::uint64_t token, wall_clock clock) {
    state_.begin_term({token, token, now, clock});
}

void scheduler::load_job(const std::string &id, const wire::job_record &r, std::uint64_t version,
                         time_point now) {
    job_loader_.load(id, r, version, now);
}

void scheduler::load_done(const std::string &record, const std::vector<wire::done_part> &parts) {
    done_records_.load(record, parts);
}

void scheduler::load_placed(const std::string &record, const std::vector<wire::placed_task> &tasks,
                            time_point now) {
    placements_.load(record, tasks, now);
}

void scheduler::load_unreadable_placements(time_point now) {
    hold_until_ = now + settings_.lease_duration * (1 + c::clock_drift) + c::lease_slack;
}

void scheduler::load_rental(const std::string &round, const wire::rental_record &r,
                            time_point now) {
    fleet_.load_rental(round, r, now);
}

void scheduler::loaded(time_point now) {
    job_loader_.restore_waiting_tasks();
    ready_ = true;
    state_.request_planning();
    last_raise_ = now;
    last_fleet_ = now; // heartbeats come first, renting after
}

// --- jobs ---

void scheduler::on_job(const std::string &id, const wire::job_record &r, std::uint64_t version,
                       time_point now) {
    job_loader_.on_record(id, r, version, now);
}

void scheduler::on_cancel(const cancel_notice &n, time_point now) {
    job_loader_.on_cancel(n, now);
}

void scheduler::on_predecessor_end(const std::string &id, const catalog::wall_predecessor_end &end,
                                   time_point now) {
    dependencies_.on_predecessor_end(id, end, now);
}

std::set<std::string> scheduler::unresolved_predecessors() const {
    return dependencies_.unresolved_predecessors();
}

void scheduler::on_token(std::uint64_t token) {
    state_.raise_token(token);
}

// --- heartbeats ---

scheduler::heartbeat_age scheduler::on_heartbeat(const heartbeat &r, time_point now, bool reply) {
    if (state_.was_removed(r.machine))
        return heartbeat_age::dead;
    auto &m = state_.ensure_machine(r.machine, now);
    state_.describe_machine(m, r.type, r.zone, r.spot, r.address);
    if (m.heard_at && !r.newer_than(m.incarnation, m.sequence))
        return r.incarnation == m.incarnation ? heartbeat_age::stale : heartbeat_age::dead;
    bool first = !m.up;
    bool new_incarnation = m.heard_at && r.incarnation > m.incarnation;
    // Guards against ran_twice: the reply to a direct command may overtake an answer that carries a
    // start, and then does not show a task that the answer will yet begin. Only the worker's next
    // heartbeat of its own comes after that answer.
    if (!reply && (r.incarnation > m.answer_incarnation || r.sequence > m.answer_sequence))
        m.answer_until.reset();
    m.incarnation = r.incarnation;
    m.sequence = r.sequence;
    m.token = r.token;
    m.heard_at = now;
    if (!reply || !m.own_heartbeat_at)
        m.own_heartbeat_at = now;
    // Guards against ran_twice: a new incarnation's lease began by itself, before any answer of
    // ours, and direct commands start tasks in it while heartbeats go unanswered.
    if (!m.incarnation_at || new_incarnation)
        m.incarnation_at = now;
    if (first || new_incarnation)
        m.lease_bound = std::max(
            m.lease_bound, now + settings_.lease_duration * (1 + c::clock_drift) + c::lease_slack);
    if (first) {
        m.up = true;
        m.up_at = now;
        m.idle_since = now;
        state_.request_planning();
    }
    if (new_incarnation)
        m.idle_since = now; // cut off until now, not idle
    m.cleanup_commands.clear();
    if (!r.tasks.empty() || !m.attempts.empty())
        m.touch();
    std::set<catalog::task_ref> listed;
    for (auto &t : r.tasks) {
        listed.insert({t.job, t.index});
        reconcile_listed_task(m, t, now);
    }
    starts_ignored_ = starts_seen_ = false;
    std::vector<catalog::task_ref> missing;
    for (auto &ref : m.attempts)
        if (!listed.count(ref))
            missing.push_back(ref);
    for (auto &ref : missing) {
        auto *j = state_.find_job(ref.job);
        auto i = j ? j->live.find(ref.index) : decltype(j->live.end()){};
        if (!j || i == j->live.end()) {
            m.attempts.erase(ref);
            continue;
        }
        auto &a = i->second;
        // A incarnation that ended took every task with it, and commands of it are refused.
        // What an earlier leader placed, we can't tell in which incarnation; its order may yet
        // arrive.
        if (new_incarnation && a.possibly_running() && !a.inherited)
            state_.release_attempt(*j, ref.index, true);
        else
            reconcile_missing_task(m, *j, a, r, now);
    }
    if (!reply)
        detect_outbound_partition(m, r, new_incarnation, now);
    if (r.reclaim_notice) {
        if (!m.reclaim_at) {
            m.reclaim_at = now + *r.reclaim_notice;
            state_.withdraw_unstarted(m);
            // What can't finish or save in time starts again elsewhere at once.
            for (auto &ref : m.attempts)
                if (auto *j = state_.find_job(ref.job))
                    if (auto i = j->live.find(ref.index); i != j->live.end()) {
                        auto &a = i->second;
                        seconds ran = a.ran_for(now);
                        seconds left = std::max(seconds{}, a.estimate - ran);
                        if (a.possibly_running() && j->spec.shape == job_shape::array &&
                            left > *r.reclaim_notice * c::reclaim_notice_tolerance)
                            state_.request_stop(
                                a, std::min(*r.reclaim_notice, j->spec.checkpoint_duration));
                    }
        }
    } else {
        m.reclaim_at.reset();
    }
    if (!m.attempts.empty() || !m.queue.empty())
        m.idle_since = now;
    return heartbeat_age::fresh;
}

void scheduler::reconcile_listed_task(machine_t &m, const task_status &t, time_point now) {
    auto *j = state_.find_job(t.job);
    catalog::task_ref ref{t.job, t.index};
    auto *a = state_.find_attempt(ref, t.attempt);
    if (a && a->machine != m.name)
        a = nullptr;
    if (!a) {
        if (t.state == task_state::exited) {
            // A completed task is completed, whoever started it.
            if (t.cause == exit_cause::done && j && !j->over() && t.index < j->spec.tasks &&
                j->spec.shape == job_shape::array && !j->done[t.index]) {
                task_done(*j, t.index, now);
                if (auto i = j->live.find(t.index); i != j->live.end()) {
                    if (i->second.possibly_running())
                        state_.request_stop(i->second, seconds{});
                    else
                        state_.release_attempt(*j, t.index, false);
                }
            }
            // Kept until its being done is durable: losing it would lose the result.
            if (!(t.cause == exit_cause::done && j && t.index < j->spec.tasks && !j->over() &&
                  j->done[t.index] && !j->done_durable[t.index]))
                m.cleanup_commands.push_back(
                    {command_kind::remove, t.job, t.index, t.attempt, seconds{}});
        } else if (j && t.index < j->spec.tasks && !j->live.count(t.index)) {
            adopt_task(m, *j, t, now);
        } else {
            m.cleanup_commands.push_back(
                {command_kind::stop, t.job, t.index, t.attempt, seconds{}});
        }
        return;
    }
    if (a->phase == attempt_phase::exited)
        return;
    if (a->phase == attempt_phase::sent && !a->inherited)
        starts_seen_ = true;
    a->inherited = false;
    switch (t.state) {
    case task_state::fetching:
        a->phase = attempt_phase::fetching;
        break;
    case task_state::running:
        if (a->phase != attempt_phase::running) {
            a->running_since = now;
            state_.request_planning();
            spdlog::debug("{}/{} runs on {} ({} {}) {:.1f} s after it was accepted, {:.1f} s after "
                          "its placement",
                          t.job, t.index, m.name, m.type.name, m.zone,
                          (now - j->accepted_at).count(), (now - a->created_at).count());
        }
        state_.failures().machine_ran(m.name, a->created_at);
        a->phase = attempt_phase::running;
        a->running_seen = now;
        m.use_image(j->spec.image, j->spec.image_gb, now);
        break;
    case task_state::checkpointing:
        a->phase = attempt_phase::checkpointing;
        break;
    case task_state::exited:
        reconcile_exited_task(m, *j, *a, t, now);
        break;
    }
}

// Guards against feeding a machine whose heartbeats arrive while nothing reaches it: each task
// given to it would be lost for a lease. Its heartbeats then show neither our token nor our starts,
// or tell of a incarnation that ended although we had answered.
void scheduler::detect_outbound_partition(machine_t &m, const heartbeat &r, bool new_incarnation,
                                          time_point now) {
    if (starts_seen_ ||
        (m.announced_token > 0 && r.token >= m.announced_token && !starts_ignored_)) {
        if (starts_seen_ || m.announced_at) {
            m.ignored_heartbeats = 0;
            if (m.outbound_partition_since)
                state_.request_planning();
            m.outbound_partition_since.reset();
        }
        m.announced_at.reset();
    }
    seconds round = c::worker_patience + seconds{1} + 1.25 * settings_.heartbeat_interval;
    // Guards against a mark that outlives its cause: the answer that its last incarnation seemed
    // not to have got may have gone to a late copy. A incarnation that outlasts a lease was
    // answered.
    if (m.outbound_partition_since && !new_incarnation &&
        now - *m.incarnation_at >
            settings_.lease_duration * (1 + c::clock_drift) + c::lease_slack + round) {
        m.ignored_heartbeats = 0;
        m.outbound_partition_since.reset();
        m.announced_at.reset();
        state_.request_planning();
    }
    bool token_ignored =
        m.announced_at && r.token < m.announced_token && now - *m.announced_at > round;
    if ((starts_ignored_ || token_ignored) && ++m.ignored_heartbeats == 1)
        m.ignored_at = now;
    bool deaf = m.ignored_heartbeats >= c::outbound_partition_heartbeats &&
                now - *m.ignored_at > c::worker_patience;
    if (new_incarnation && m.answered_at &&
        now - *m.answered_at < c::outbound_partition_lease_share * settings_.lease_duration)
        deaf = true;
    if (!deaf || m.outbound_partition_since)
        return;
    spdlog::info("{}: does not hear us, gets no more work", m.name);
    m.outbound_partition_since = now;
    state_.withdraw_unstarted(m);
}

// A task that runs without our knowing must count everywhere until it is stopped.
void scheduler::adopt_task(machine_t &m, job_t &j, const task_status &t, time_point now) {
    state_.remove_from_queue(j, t.index);
    j.again.erase(t.index);
    for (; j.next_fresh <= t.index; ++j.next_fresh)
        if (j.next_fresh != t.index && !j.done[j.next_fresh] && !j.live.count(j.next_fresh) &&
            !j.queued.count(j.next_fresh))
            j.again.insert(j.next_fresh);
    attempt_t a;
    a.task = {t.job, t.index};
    a.number = t.attempt;
    a.machine = m.name;
    a.phase = t.state == task_state::running         ? attempt_phase::running
              : t.state == task_state::checkpointing ? attempt_phase::checkpointing
                                                     : attempt_phase::fetching;
    a.created_at = now;
    a.running_since = now;
    a.estimate = state_.expected_run_time(j);
    auto &kept = state_.add_attempt(j, std::move(a));
    state_.request_stop(kept, seconds{});
    spdlog::info("{}: adopted {}/{} attempt {}", m.name, t.job, t.index, t.attempt);
}

void scheduler::reconcile_exited_task(machine_t &m, job_t &j, attempt_t &a, const task_status &t,
                                      time_point now) {
    state_.request_planning();
    auto index = a.task.index;
    auto cause = t.cause;
    seconds ran = a.ran_for(now);
    a.phase = attempt_phase::exited;
    a.cause = cause;
    bool forget = true;
    switch (cause) {
    case exit_cause::done:
        state_.failures().machine_ran(m.name, a.created_at);
        m.use_image(j.spec.image, j.spec.image_gb, now);
        if (j.spec.shape == job_shape::array && !j.over()) {
            if (ran > seconds{}) {
                seconds normal = ran * std::max(m.speed, c::speed_floor);
                // Compared with the job's other tasks, since estimates err a job at a time.
                if (j.took_count >= 3) {
                    seconds mean = j.took_sum / j.took_count;
                    double sample = std::clamp(mean / ran, 0.1, 3.0);
                    m.speed = (1 - c::speed_gain) * m.speed + c::speed_gain * sample;
                    ++m.speed_samples;
                }
                j.took_sum += normal;
                ++j.took_count;
                state_.estimates().measured(j.spec.job_class, j.spec.estimate, normal);
            }
            task_done(j, index, now);
            forget = false;
        }
        state_.failures().job_ran(j.spec.id);
        quarantine_faulty();
        break;
    case exit_cause::error:
        task_failed(m, j, a, now);
        break;
    case exit_cause::no_room:
    case exit_cause::busy:
        m.refused_until = now + c::refused_pause;
        state_.clear_queue(m);
        break;
    case exit_cause::unknown:
        // Its user may not have uploaded it yet.
        j.backoff_until = now + c::refused_pause;
        break;
    case exit_cause::stopped:
    case exit_cause::none:
        break;
    }
    if (forget) {
        state_.release_attempt(j, index, true);
        m.cleanup_commands.push_back({command_kind::remove, t.job, t.index, t.attempt, seconds{}});
    }
}

void scheduler::task_failed(machine_t &m, job_t &j, const attempt_t &a, time_point now) {
    seconds ran = a.ran_for(now);
    if (state_.failures().attempt_failed({j.spec.id, m.name, ran, job_runs(j)}, now)) {
        spdlog::info("{}: fails wherever it runs, retried one task at a time", j.spec.id);
        while (!j.queued.empty()) {
            auto index = j.queued.begin()->first;
            state_.remove_from_queue(j, index);
            j.push_back(index);
        }
    }
    m.probation_until = state_.failures().probation_until(m.name);
    if (m.probation_until > now)
        state_.clear_queue(m);
    quarantine_faulty();
}

bool scheduler::job_runs(const job_t &j) const {
    if (j.done_seen > 0)
        return true;
    seconds proof = state_.failures().proof_duration(j.spec.id);
    // Reported so again and again: without heartbeats nobody knows whether it still runs.
    return std::any_of(j.live.begin(), j.live.end(), [&](auto &i) {
        auto &a = i.second;
        return a.running_since && *a.running_seen - *a.running_since > proof;
    });
}

void scheduler::review_failures() {
    for (auto &id : state_.failures().unproven_jobs()) {
        auto *j = state_.find_job(id);
        if (!j || j->over())
            state_.failures().forget_job(id);
        else if (job_runs(*j))
            state_.failures().job_ran(id);
    }
    quarantine_faulty();
    for (auto &[name, m] : state_.machines())
        m.probation_until = state_.failures().probation_until(name);
}

void scheduler::quarantine_faulty() {
    for (auto &name : state_.failures().take_faulty()) {
        auto i = state_.machines().find(name);
        if (i == state_.machines().end() || i->second.quarantined)
            continue;
        spdlog::info("{}: quarantined, tasks fail there", name);
        i->second.quarantined = true;
        state_.withdraw_unstarted(i->second);
    }
}

void scheduler::load_suspects(const std::vector<std::string> &jobs, time_point now) {
    suspect_record_.load(jobs, now);
}

// The attempt is not in a heartbeat newer than all we knew.
void scheduler::reconcile_missing_task(machine_t &m, job_t &j, attempt_t &a, const heartbeat &r,
                                       time_point now) {
    auto index = a.task.index;
    switch (a.phase) {
    case attempt_phase::committing:
    case attempt_phase::committed:
        return;
    case attempt_phase::exited:
        // Forgotten by the worker (or its incarnation over); the done record is on its way.
        if (a.cause != exit_cause::done)
            state_.release_attempt(j, index, true);
        return;
    case attempt_phase::sent:
        if (m.has_unacknowledged_command(now))
            return; // an order may still arrive
        if (a.inherited) {
            // Once the worker has seen our token, no start of an earlier leader can arrive.
            if (r.token >= state_.term().first_token)
                state_.release_attempt(j, index, true);
            return;
        }
        // It was in the answer to an older heartbeat and is not there: that answer was dropped,
        // and the worker executes no answer late.
        if (a.sent_incarnation == r.incarnation && r.sequence > a.sent_sequence) {
            starts_ignored_ = true;
            if (a.stop_wanted || !m.usable())
                state_.release_attempt(j, index, true);
            else
                a.phase = attempt_phase::committed;
        }
        return;
    case attempt_phase::fetching:
    case attempt_phase::running:
    case attempt_phase::checkpointing:
        if (!m.has_unacknowledged_command(now))
            state_.release_attempt(j, index, true);
        return;
    }
}

void scheduler::task_done(job_t &j, std::uint32_t index, time_point now) {
    if (j.over() || j.done[index])
        return;
    state_.remove_from_queue(j, index);
    j.again.erase(index);
    for (; j.next_fresh <= index; ++j.next_fresh)
        if (j.next_fresh != index && !j.done[j.next_fresh] && !j.live.count(j.next_fresh) &&
            !j.queued.count(j.next_fresh))
            j.again.insert(j.next_fresh);
    j.done[index] = true;
    ++j.done_seen;
    note_done(j, index, now);
}

// --- commands ---

std::vector<command> scheduler::commands(machine_t &m, bool in_answer, time_point now,
                                         bool may_start) {
    std::vector<command> out;
    // A start that may still arrive must not follow a reap: it would start the attempt anew.
    bool forgetting = !m.has_unacknowledged_command(now);
    if (in_answer || forgetting)
        for (auto &o : m.cleanup_commands)
            if (o.kind != command_kind::remove || forgetting)
                out.push_back(o);
    std::vector<command> starts;
    // Room once the commands to stop in this very list are carried out, which go before the starts.
    bidding::room room{m.type.cpus, m.type.gpus, m.type.memory_gb};
    for (auto &ref : m.attempts)
        if (auto *j = state_.find_job(ref.job))
            if (auto i = j->live.find(ref.index); i != j->live.end()) {
                auto &a = i->second;
                bool stops_now = a.stop_wanted && a.grace <= seconds{};
                if (a.possibly_running() && !stops_now)
                    room.take(j->spec);
            }
    for (auto &ref : m.attempts) {
        auto *j = state_.find_job(ref.job);
        if (!j)
            continue;
        auto i = j->live.find(ref.index);
        if (i == j->live.end())
            continue;
        auto &a = i->second;
        switch (a.phase) {
        case attempt_phase::committing:
            break;
        case attempt_phase::committed:
        case attempt_phase::sent:
            if (a.stop_wanted) {
                if (a.phase == attempt_phase::sent)
                    out.push_back({command_kind::stop, ref.job, ref.index, a.number, seconds{}});
                break;
            }
            if (a.inherited || !m.usable() || j->over() || !may_start)
                break;
            if (a.phase == attempt_phase::committed) {
                if (!room.fits(j->spec))
                    break; // placed ahead of the room that is being made for it
                room.take(j->spec);
            }
            a.phase = attempt_phase::sent;
            if (in_answer) {
                a.sent_incarnation = m.incarnation;
                a.sent_sequence = m.sequence;
            }
            starts.push_back({command_kind::start, ref.job, ref.index, a.number, seconds{}});
            break;
        case attempt_phase::fetching:
        case attempt_phase::running:
            if (a.stop_wanted)
                out.push_back({command_kind::stop, ref.job, ref.index, a.number, a.grace});
            break;
        case attempt_phase::checkpointing:
            if (a.stop_wanted && a.grace <= seconds{})
                out.push_back({command_kind::stop, ref.job, ref.index, a.number, seconds{}});
            break;
        case attempt_phase::exited:
            break;
        }
    }
    if (in_answer && !starts.empty()) {
        m.answer_incarnation = m.incarnation;
        m.answer_sequence = m.sequence;
        m.answer_until = now + c::worker_patience * (1 + c::clock_drift) + c::lease_slack;
    }
    out.insert(out.end(), starts.begin(), starts.end());
    return out;
}

std::vector<command> scheduler::commands_for_answer(const std::string &machine, time_point now,
                                                    bool starts) {
    auto i = state_.machines().find(machine);
    return i == state_.machines().end() ? std::vector<command>()
                                        : commands(i->second, true, now, starts);
}

bool scheduler::holds_nothing(const heartbeat &r) const {
    if (!r.tasks.empty())
        return false;
    auto i = state_.machines().find(r.machine);
    if (i == state_.machines().end())
        return true;
    for (auto &ref : i->second.attempts)
        if (auto *j = state_.find_job(ref.job))
            if (auto a = j->live.find(ref.index);
                a != j->live.end() && a->second.possibly_running())
                return false;
    return true;
}

std::vector<command> scheduler::direct_commands_for(const std::string &machine, time_point now,
                                                    bool may_start) {
    auto i = state_.machines().find(machine);
    if (i == state_.machines().end() || !i->second.up || i->second.commands_open > 0)
        return {};
    auto &m = i->second;
    auto out = commands(m, false, now, may_start);
    bool starts = false;
    for (auto &o : out)
        if (o.kind == command_kind::start) {
            starts = true;
            if (auto *a = state_.find_attempt({o.job, o.index}, o.attempt);
                a && a->sent_incarnation == 0) {
                // Nothing about it is known until the command is resolved.
                a->sent_incarnation = m.incarnation;
                a->sent_sequence = m.sequence;
            }
        }
    if (starts)
        ++m.commands_open;
    return out;
}

bool scheduler::starts_wanted(const std::vector<command> &commands) const {
    return std::all_of(commands.begin(), commands.end(), [&](const command &o) {
        if (o.kind != command_kind::start)
            return true;
        auto *j = state_.find_job(o.job);
        if (!j || j->over())
            return false;
        auto a = j->live.find(o.index);
        return a != j->live.end() && a->second.number == o.attempt && !a->second.stop_wanted;
    });
}

void scheduler::command_resolved(const std::string &machine) {
    if (auto i = state_.machines().find(machine);
        i != state_.machines().end() && i->second.commands_open > 0)
        --i->second.commands_open;
}

void scheduler::command_unresolved(const std::string &machine, std::uint64_t token,
                                   std::uint64_t incarnation) {
    auto i = state_.machines().find(machine);
    if (i == state_.machines().end())
        return;
    if (i->second.commands_open > 0)
        --i->second.commands_open;
    i->second.unresolved_token = std::max(i->second.unresolved_token, token);
    i->second.unresolved_incarnation = std::max(i->second.unresolved_incarnation, incarnation);
}

bool scheduler::wants_token_raise(time_point now) {
    if (!elapsed(last_raise_, c::token_bump, now))
        return false;
    for (auto &[name, m] : state_.machines())
        if (m.commands_open == 0 && m.has_unacknowledged_direct_command() &&
            m.unresolved_token >= state_.term().token) {
            last_raise_ = now;
            return true;
        }
    return false;
}

void scheduler::answered(const std::string &machine, heartbeat_age age, time_point now) {
    auto i = state_.machines().find(machine);
    if (i == state_.machines().end())
        return;
    auto &m = i->second;
    m.lease_bound = std::max(m.lease_bound, now + settings_.lease_duration * (1 + c::clock_drift) +
                                                c::lease_slack);
    // Guards against a machine taken for outbound-partitioned: the answer to a late copy reaches
    // nobody.
    if (age != heartbeat_age::fresh)
        return;
    m.answered_at = now;
    if (!m.announced_at && m.token < state_.term().token) {
        m.announced_token = state_.term().token;
        m.announced_at = now;
    }
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
                       planner_.preempted_tasks());
}

} // namespace spindlecroft::control
