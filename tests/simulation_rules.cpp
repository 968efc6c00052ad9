// The invariants that the randomized simulation checks.
#include "randomized_simulation.hpp"
#include <algorithm>
#include <fmt/format.h>

namespace spindlecroft::test {

void simulation::report_violation(const std::string &description) {
    violations.push_back(fmt::format("{:.2f}: {}", test::in_seconds(now), description));
}

void simulation::check_quarantine() {
    for (auto &[name, machine] : scheduler->machines())
        if (machine.is_quarantined && !workers.at(name).faulty)
            report_violation("healthy machine quarantined: " + name);
}

void simulation::check_start(worker &agent, const std::string &job, std::uint32_t index,
                             std::uint64_t attempt) {
    ++starts;
    if (fails_everywhere(job))
        ++starts_of_failing_jobs[job];
    check_start_order(job);
    check_runs_once(agent, job, index, attempt);
    check_team_limit_and_spread(agent, job);
    if (agent.spot && !submitted.at(job).may_use_spot)
        report_violation("task started on a spot machine although its job excludes them");
    if (auto found = jobs.find(job); found != jobs.end() && found->second.cancelled_at &&
                                     now > *found->second.cancelled_at + conf.cancel_deadline)
        report_violation("task of a cancelled job started after the cancel deadline: " + job);
}

void simulation::check_start_order(const std::string &job) {
    for (auto &id : predecessors_of[job]) {
        ++dependent_start_checks;
        for (std::uint32_t index = 0; index < submitted.at(id).tasks; ++index)
            if (!completed[{id, index}])
                report_violation(fmt::format(
                    "{} started before all tasks of its predecessor {} were done", job, id));
        if (cancel_confirmed.count(id))
            report_violation(
                fmt::format("{} started although its predecessor {} was cancelled", job, id));
    }
}

void simulation::check_runs_once(const worker &agent, const std::string &job, std::uint32_t index,
                                 std::uint64_t attempt) {
    auto key = std::make_pair(job, index);
    for (auto &[name, other] : workers) {
        if (!other.alive || name == agent.name || now - other.lease_from > conf.lease_duration)
            continue;
        auto task = other.tasks.find(key);
        if (task != other.tasks.end() && task->second.state != task_state::exited)
            report_violation(fmt::format("task {}/{} runs on {} and {} at the same time", job,
                                         index, agent.name, name));
    }
    if (!started.insert(fmt::format("{}/{}#{}", job, index, attempt)).second)
        report_violation(
            fmt::format("attempt {} of {}/{} started a second time", attempt, job, index));
}

void simulation::check_team_limit_and_spread(const worker &agent, const std::string &job) {
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
            if (key.first == job && other.zone == agent.zone)
                ++in_zone;
        }
    }
    auto *team = conf.find_team(spec.team);
    if (team->cpus_max > 0 && cpus > team->cpus_max + 1e-6)
        report_violation(
            fmt::format("core limit of team {} exceeded: {} cores in use", spec.team, cpus));
    if (spec.spread_across_zones && in_zone > static_cast<int>((spec.tasks + 1) / 2))
        report_violation(
            fmt::format("zone spread violated: {} tasks of {} in one zone", in_zone, job));
}

void simulation::check_cancelled() {
    for (auto &[name, agent] : workers)
        if (agent.alive && now >= agent.up_at)
            for (auto &[key, task] : agent.tasks)
                if (task.state != task_state::exited)
                    if (auto found = jobs.find(key.first);
                        found != jobs.end() && found->second.cancelled_at &&
                        now > *found->second.cancelled_at + conf.cancel_deadline &&
                        now >= agent.hang_until && now - agent.lease_from <= conf.lease_duration)
                        report_violation(
                            "task of a cancelled job still runs after the cancel deadline: " +
                            key.first);
}

bool simulation::all_predecessors_done(const std::string &id) {
    auto &names = predecessors_of[id];
    return std::all_of(names.begin(), names.end(), [&](auto &name) {
        return ended.count(name) && ended.at(name) == job_state::done;
    });
}

bool simulation::has_incomplete_task(const std::string &id, const job_spec &spec) {
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
        view.has_capacity = view.has_capacity || fits;
    }
    return view;
}

void simulation::check_waiting_times() {
    for (auto &[id, record] : jobs) {
        auto &spec = record.job.spec;
        auto view = view_capacity(id, spec);
        bool ready = all_predecessors_done(id);
        bool waits = ready && !record.job.cancelled && spec.shape == job_shape::array &&
                     has_incomplete_task(id, spec) && !view.job_is_running;
        auto *team = conf.find_team(spec.team);
        bool over_limit = team->cpus_max > 0 && view.used_by_team + spec.cpus > team->cpus_max;
        if (!waits || !view.has_capacity || over_limit)
            waiting_since.erase(id);
        else if (waiting_since.emplace(id, now).first->second < now - 90s)
            report_violation(
                fmt::format("ready job not started within 90 s although a machine has capacity: {}",
                            describe(id)));
    }
}

std::string simulation::describe(const std::string &id) {
    auto *job = scheduler ? scheduler->find_job(id) : nullptr;
    if (!job)
        return id + " not among the leader's jobs";
    auto out = fmt::format("{} cancelled {} waiting {} queued {} done {} of {}; {}", id,
                           job->cancelled, job->waiting_tasks(), job->queued_on.size(),
                           job->reported_done_count, job->spec.tasks, scheduler->summary());
    for (auto &[index, attempt] : job->current_attempts)
        out += fmt::format("; {} on {} phase {}", index, attempt.machine,
                           static_cast<int>(attempt.phase));
    for (auto &[name, machine] : scheduler->machines())
        out += fmt::format("\n  {} {} {} up {} usable {} last message {:.0f} s ago", name,
                           machine.type.name, machine.spot, machine.is_up, machine.is_usable(),
                           (now - machine.last_message_at.value_or(test::at(-1))).count());
    return out;
}

} // namespace spindlecroft::test
