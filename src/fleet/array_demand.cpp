// Collection of array demand from the unfinished jobs.
#include "fleet/array_demand.hpp"
#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <map>

namespace spindlecroft::fleet {

namespace {

// Share of its estimate that a task is assumed to need still when it exceeds the estimate.
constexpr double min_remaining_share = 0.2;
// CPU counts are subtracted from this so that keys sort in descending order as text.
constexpr double descending_base = 1e6;

struct unfinished_work {
    double tasks = 0;
    seconds work{};
};

// The keys sort in the order in which the demand is planned.
std::string demand_key(const job_spec &spec) {
    std::string types;
    if (spec.machine_types)
        for (const auto &type : *spec.machine_types)
            types += type + ",";
    return fmt::format("{:09.2f}|{}|{}|{}|{}|{}", descending_base - spec.cpus, spec.memory_gb,
                       spec.gpus, types, spec.zone.value_or(""), spec.may_use_spot);
}

unfinished_work unfinished_work_of(const catalog::job &job, const model::cluster_state &state,
                                   time_point now) {
    unfinished_work unfinished;
    unfinished.tasks = job.waiting_tasks() + static_cast<double>(job.queued_on.size());
    if (state.failures().is_suspect(job.spec.id))
        unfinished.tasks =
            std::min(unfinished.tasks, 1.0); // no machines are rented for a job that keeps failing
    unfinished.work = unfinished.tasks * state.expected_run_time(job);
    for (const auto &[index, attempt] : job.current_attempts) {
        if (!attempt.holds_resources())
            continue;
        seconds run_time = attempt.observed_run_time(now);
        unfinished.work += std::max(min_remaining_share * attempt.expected_run_time,
                                    attempt.expected_run_time - run_time);
        ++unfinished.tasks;
    }
    return unfinished;
}

// Tracks the CPUs used by each team, including the planned work.
class team_limits {
  public:
    team_limits(const model::cluster_state &state, const settings::settings &settings)
        : settings_(settings) {
        for (const auto &[id, job] : state.jobs())
            if (job.spec.shape == job_shape::service)
                cpus_[job.spec.team] +=
                    job.spec.cpus * static_cast<double>(job.current_attempts.size());
    }
    // Returns how many of the tasks the team may run. They count as used afterwards.
    double admit(const job_spec &spec, double tasks) {
        const auto *team = settings_.find_team(spec.team);
        if (!team || team->cpus_max <= 0 || spec.cpus <= 0)
            return tasks;
        auto &used = cpus_[spec.team];
        double allowed = std::clamp(std::floor((team->cpus_max - used) / spec.cpus), 0.0, tasks);
        used += allowed * spec.cpus;
        return allowed;
    }

  private:
    const settings::settings &settings_;
    std::map<std::string, double> cpus_;
};

} // namespace

std::vector<array_demand> collect_array_demand(const model::cluster_state &state,
                                               const settings::settings &settings, time_point now) {
    std::map<std::string, array_demand> demand_by_key;
    team_limits limits(state, settings);
    for (const auto &[id, job] : state.jobs()) {
        if (job.spec.shape != job_shape::array || job.is_closed() || now < job.backoff_until)
            continue;
        auto unfinished = unfinished_work_of(job, state, now);
        if (unfinished.tasks == 0)
            continue;
        double allowed = limits.admit(job.spec, unfinished.tasks);
        if (allowed == 0)
            continue;
        auto &entry = demand_by_key[demand_key(job.spec)];
        entry.spec = &job.spec;
        entry.tasks += allowed;
        entry.work += unfinished.work * allowed / unfinished.tasks;
    }
    std::vector<array_demand> demand;
    demand.reserve(demand_by_key.size());
    for (const auto &[key, entry] : demand_by_key)
        demand.push_back(entry);
    return demand;
}

} // namespace spindlecroft::fleet
