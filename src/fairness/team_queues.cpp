#include "fairness/team_queues.hpp"
#include "constants.hpp"
#include <algorithm>

namespace spindlecroft::fairness {

namespace {

constexpr double tolerance = constants::resource_tolerance;

// Returns whether the amount is within the limit. A limit of 0 means unlimited.
bool is_within(double amount, double limit) {
    return limit <= 0 || amount <= limit + tolerance;
}

bool has_guarantee(const settings::team &team) {
    return team.cpus > 0 || team.gpus > 0;
}

} // namespace

team_queues::team_queues(std::vector<settings::team> teams) : teams_(std::move(teams)) {}

const settings::team *team_queues::find(const std::string &team) const {
    auto found = std::find_if(teams_.begin(), teams_.end(), [&](const settings::team &configured) {
        return configured.name == team;
    });
    return found == teams_.end() ? nullptr : &*found;
}

void team_queues::clear_usage() {
    used_.clear();
}

void team_queues::add(const std::string &team, const job_spec &spec, int task_count) {
    auto &in_use = used_[team];
    in_use.cpus += task_count * spec.cpus;
    in_use.gpus += task_count * spec.gpus;
}

usage team_queues::usage_of(const std::string &team) const {
    auto found = used_.find(team);
    return found == used_.end() ? usage{} : found->second;
}

bool team_queues::within_limit(const job_spec &spec) const {
    const auto *team = find(spec.team);
    if (!team)
        return false;
    auto in_use = usage_of(spec.team);
    return is_within(in_use.cpus + spec.cpus, team->cpus_max) &&
           is_within(in_use.gpus + spec.gpus, team->gpus_max);
}

bool team_queues::within_guarantee(const job_spec &spec) const {
    const auto *team = find(spec.team);
    if (!team || !has_guarantee(*team))
        return false;
    auto in_use = usage_of(spec.team);
    return in_use.cpus + spec.cpus <= team->cpus + tolerance &&
           in_use.gpus + spec.gpus <= team->gpus + tolerance;
}

double team_queues::share_used(const std::string &name) const {
    const auto *team = find(name);
    auto in_use = usage_of(name);
    if (!team || !has_guarantee(*team))
        return in_use.cpus + in_use.gpus;
    double share = 0;
    if (team->cpus > 0)
        share = std::max(share, in_use.cpus / team->cpus);
    if (team->gpus > 0)
        share = std::max(share, in_use.gpus / team->gpus);
    return share;
}

bool team_queues::can_ever_run(const job_spec &spec) const {
    const auto *team = find(spec.team);
    if (!team)
        return false;
    double tasks = spec.shape == job_shape::service ? spec.tasks : 1;
    return is_within(tasks * spec.cpus, team->cpus_max) &&
           is_within(tasks * spec.gpus, team->gpus_max);
}

} // namespace spindlecroft::fairness
