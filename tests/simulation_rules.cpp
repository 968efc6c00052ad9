// The rules that the randomized simulation checks as invariants.
#include "randomized_simulation.hpp"
#include <algorithm>
#include <fmt/format.h>

namespace spindlecroft::test {

void simulation::report_violation(const std::string &what) {
    violations.push_back(fmt::format("{:.2f}: {}", test::in_seconds(now), what));
}

void simulation::check_blame() {
    for (auto &[name, m] : scheduler->machines())
        if (m.is_quarantined && !workers.at(name).faulty)
            report_violation("quarantined though healthy: " + name);
}

void simulation::check_start(worker &w, const std::string &job, std::uint32_t index,
                             std::uint64_t attempt) {
    ++starts;
    if (fails_everywhere(job))
        ++vain_starts[job];
    check_start_order(job);
    check_runs_once(w, job, index, attempt);
    check_team_limit_and_spread(w, job);
    if (w.spot && !submitted.at(job).may_use_spot)
        report_violation("wrong_place: spot");
    if (auto found = jobs.find(job); found != jobs.end() && found->second.cancelled_at &&
                                     now > *found->second.cancelled_at + conf.cancel_deadline)
        report_violation("ran_cancelled: start of " + job);
}

void simulation::check_start_order(const std::string &job) {
    for (auto &id : predecessors_of[job]) {
        ++chained_starts;
        for (std::uint32_t index = 0; index < submitted.at(id).tasks; ++index)
            if (!completed[{id, index}])
                report_violation(fmt::format("too_early: {} before the end of {}", job, id));
        if (cancel_confirmed.count(id))
            report_violation(fmt::format("too_early: {} after the cancel of {}", job, id));
    }
}

void simulation::check_runs_once(const worker &w, const std::string &job, std::uint32_t index,
                                 std::uint64_t attempt) {
    auto key = std::make_pair(job, index);
    for (auto &[name, other] : workers) {
        if (!other.alive || name == w.name || now - other.lease_from > conf.lease_duration)
            continue;
        auto task = other.tasks.find(key);
        if (task != other.tasks.end() && task->second.state != task_state::exited)
            report_violation(fmt::format("ran_twice {}/{} on {} and {}", job, index, w.name, name));
    }
    if (!started.insert(fmt::format("{}/{}#{}", job, index, attempt)).second)
        report_violation(fmt::format("attempt {} of {}/{} started anew", attempt, job, index));
}

void simulation::check_team_limit_and_spread(const worker &w, const std::string &job) {
    auto &spec = submitted.at(job);
    double cpus = 0;
    int in_zone = 0;
    for (auto &[name, other] : workers) {
        if (!other.alive || now - other.lease_from > conf.lease_duration)
            continue;
        for (auto &[key, task] : other.tasks) {
            if (task.state == task_state::exited)
                continue;
            if (submitted.at(key.first).team == spec.team)
                cpus += submitted.at(key.first).cpus;
            if (key.first == job && other.zone == w.zone)
                ++in_zone;
        }
    }
    auto *team = conf.find_team(spec.team);
    if (team->cpus_max > 0 && cpus > team->cpus_max + 1e-6)
        report_violation(fmt::format("quota of {}: {}", spec.team, cpus));
    if (spec.spread_across_zones && in_zone > static_cast<int>((spec.tasks + 1) / 2))
        report_violation(fmt::format("wrong_place: {} of {} in one zone", in_zone, job));
}

void simulation::check_cancelled() {
    for (auto &[n, w] : workers)
        if (w.alive && now >= w.up_at)
            for (auto &[k, t] : w.tasks)
                if (t.state != task_state::exited)
                    if (auto j = jobs.find(k.first);
                        j != jobs.end() && j->second.cancelled_at &&
                        now > *j->second.cancelled_at + conf.cancel_deadline &&
                        now >= w.hang_until && now - w.lease_from <= conf.lease_duration)
                        report_violation("ran_cancelled: " + k.first);
}

bool simulation::all_predecessors_done(const std::string &id) {
    auto &names = predecessors_of[id];
    return std::all_of(names.begin(), names.end(), [&](auto &name) {
        return ended.count(name) && ended.at(name) == job_state::done;
    });
}

bool simulation::has_undone_task(const std::string &id, const job_spec &spec) {
    for (std::uint32_t index = 0; index < spec.tasks; ++index)
        if (!completed.count({id, index}))
            return true;
    return false;
}

simulation::capacity_view simulation::view_capacity(const std::string &id,
                                                    const job_spec &spec) const {
    capacity_view view;
    for (auto &[name, worker] : workers) {
        if (!worker.alive || now < worker.up_at)
            continue;
        double free = worker.type == "small" ? 4 : 16;
        for (auto &[key, task] : worker.tasks) {
            if (task.state == task_state::exited)
                continue;
            auto &running = submitted.at(key.first);
            free -= running.cpus;
            view.used_by_team += running.team == spec.team ? running.cpus : 0;
            view.job_is_running = view.job_is_running || key.first == id;
        }
        bool fits = free >= spec.cpus && (spec.may_use_spot || !worker.spot);
        view.has_room = view.has_room || fits;
    }
    return view;
}

void simulation::check_waits() {
    for (auto &[id, record] : jobs) {
        auto &spec = record.job.spec;
        auto view = view_capacity(id, spec);
        bool ready = all_predecessors_done(id);
        bool waits = ready && !record.job.cancelled && spec.shape == job_shape::array &&
                     has_undone_task(id, spec) && !view.job_is_running;
        auto *team = conf.find_team(spec.team);
        bool over_limit = team->cpus_max > 0 && view.used_by_team + spec.cpus > team->cpus_max;
        if (!waits || !view.has_room || over_limit)
            waits_since.erase(id);
        else if (waits_since.emplace(id, now).first->second < now - 90s)
            report_violation(fmt::format("waits: {}", describe(id)));
    }
}

std::string simulation::describe(const std::string &id) {
    auto *j = scheduler ? scheduler->find_job(id) : nullptr;
    if (!j)
        return id + " unknown to the leader";
    auto out = fmt::format("{} cancelled {} waiting {} queued {} done {} of {}; {}", id,
                           j->cancelled, j->waiting_tasks(), j->queued_on.size(),
                           j->reported_done_count, j->spec.tasks, scheduler->summary());
    for (auto &[i, a] : j->current_attempts)
        out += fmt::format("; {} on {} phase {}", i, a.machine, static_cast<int>(a.phase));
    for (auto &[n, m] : scheduler->machines())
        out += fmt::format("\n  {} {} {} up {} usable {} heard {:.0f} s ago", n, m.type.name,
                           m.spot, m.is_up, m.is_usable(),
                           (now - m.last_message_at.value_or(test::at(-1))).count());
    return out;
}

} // namespace spindlecroft::test
