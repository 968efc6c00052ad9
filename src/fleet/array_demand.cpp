#include "fleet/array_demand.hpp"
#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <map>

namespace spindlecroft::fleet {

namespace {

// A task that outlasts its estimate is taken to need this share of it from now on.
constexpr double least_remaining_share = 0.2;
// Subtracted from it, the cpus of a task sort in descending order as text.
constexpr double descending_base = 1e6;

struct unfinished_work {
    double tasks = 0;
    seconds work{};
};

// The order of the keys is that in which the kinds are planned for.
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
    unfinished_work left;
    left.tasks = job.waiting_tasks() + static_cast<double>(job.queued_on.size());
    if (state.failures().is_suspect(job.spec.id))
        left.tasks = std::min(left.tasks, 1.0); // no room is rented for what fails anyway
    left.work = left.tasks * state.expected_run_time(job);
    for (const auto &[index, attempt] : job.current_attempts) {
        if (!attempt.holds_resources())
            continue;
        seconds ran = attempt.observed_run_time(now);
        left.work += std::max(least_remaining_share * attempt.expected_run_time,
                              attempt.expected_run_time - ran);
        ++left.tasks;
    }
    return left;
}

// The cpus in use by each team, to which the planned work is added.
class team_limits {
  public:
    team_limits(const model::cluster_state &state, const settings::settings &settings)
        : settings_(settings) {
        for (const auto &[id, job] : state.jobs())
            if (job.spec.shape == job_shape::service)
                cpus_[job.spec.team] +=
                    job.spec.cpus * static_cast<double>(job.current_attempts.size());
    }
    // How many of the tasks the team may run; they count as in use from then on.
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
    std::map<std::string, array_demand> kinds;
    team_limits limits(state, settings);
    for (const auto &[id, job] : state.jobs()) {
        if (job.spec.shape != job_shape::array || job.is_closed() || now < job.backoff_until)
            continue;
        auto left = unfinished_work_of(job, state, now);
        if (left.tasks == 0)
            continue;
        double allowed = limits.admit(job.spec, left.tasks);
        if (allowed == 0)
            continue;
        auto &kind = kinds[demand_key(job.spec)];
        kind.spec = &job.spec;
        kind.tasks += allowed;
        kind.work += left.work * allowed / left.tasks;
    }
    std::vector<array_demand> demand;
    demand.reserve(kinds.size());
    for (const auto &[key, kind] : kinds)
        demand.push_back(kind);
    return demand;
}

} // namespace spindlecroft::fleet
