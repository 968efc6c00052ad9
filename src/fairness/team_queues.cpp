#include "fairness/team_queues.hpp"
#include "constants.hpp"
#include <algorithm>

namespace spindlecroft::fairness {

namespace {

constexpr double tolerance = constants::resource_tolerance;

// A limit of 0 is none.
bool permitted(double amount, double limit) {
    return limit <= 0 || amount <= limit + tolerance;
}

bool has_guarantee(const settings::team &team) {
    return team.cpus > 0 || team.gpus > 0;
}

} // namespace

team_queues::team_queues(std::vector<settings::team> teams) : teams_(std::move(teams)) {}

const settings::team *team_queues::find(const std::string &team) const {
    auto found = std::find_if(teams_.begin(), teams_.end(),
                              [&](const settings::team &known) { return known.name == team; });
    return found == teams_.end() ? nullptr : &*found;
}

void team_queues::clear_usage() {
    used_.clear();
}

void team_queues::add(const std::string &team, const job_spec &spec, int sign) {
    auto &present = used_[team];
    present.cpus += sign * spec.cpus;
    present.gpus += sign * spec.gpus;
}

usage team_queues::usage_of(const std::string &team) const {
    auto found = used_.find(team);
    return found == used_.end() ? usage{} : found->second;
}

bool team_queues::within_limit(const job_spec &spec) const {
    const auto *team = find(spec.team);
    if (!team)
        return false;
    auto present = usage_of(spec.team);
    return permitted(present.cpus + spec.cpus, team->cpus_max) &&
           permitted(present.gpus + spec.gpus, team->gpus_max);
}

bool team_queues::within_guarantee(const job_spec &spec) const {
    const auto *team = find(spec.team);
    if (!team || !has_guarantee(*team))
        return false;
    auto present = usage_of(spec.team);
    return present.cpus + spec.cpus <= team->cpus + tolerance &&
           present.gpus + spec.gpus <= team->gpus + tolerance;
}

double team_queues::share_used(const std::string &name) const {
    const auto *team = find(name);
    auto present = usage_of(name);
    if (!team || !has_guarantee(*team))
        return present.cpus + present.gpus;
    double share = 0;
    if (team->cpus > 0)
        share = std::max(share, present.cpus / team->cpus);
    if (team->gpus > 0)
        share = std::max(share, present.gpus / team->gpus);
    return share;
}

bool team_queues::can_ever_run(const job_spec &spec) const {
    const auto *team = find(spec.team);
    if (!team)
        return false;
    double tasks = spec.shape == job_shape::service ? spec.tasks : 1;
    return permitted(tasks * spec.cpus, team->cpus_max) &&
           permitted(tasks * spec.gpus, team->gpus_max);
}

} // namespace spindlecroft::fairness
