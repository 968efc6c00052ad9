#include "fairness/team_queues.hpp"
#include <algorithm>

namespace spindlecroft::fairness {

namespace {
constexpr double tiny = 1e-9; // amounts are decimal, sums of them are not exact
}

team_queues::team_queues(std::vector<settings::team> teams) : teams_(std::move(teams)) {}

const settings::team *team_queues::find(const std::string &team) const {
    for (auto &t : teams_)
        if (t.name == team)
            return &t;
    return nullptr;
}

void team_queues::clear_usage() {
    used_.clear();
}

void team_queues::add(const std::string &team, const job_spec &s, int sign) {
    auto &u = used_[team];
    u.cpus += sign * s.cpus;
    u.gpus += sign * s.gpus;
}

usage team_queues::used(const std::string &team) const {
    auto i = used_.find(team);
    return i == used_.end() ? usage{} : i->second;
}

bool team_queues::within_limit(const job_spec &s) const {
    auto *t = find(s.team);
    if (!t)
        return false;
    auto u = used(s.team);
    return (t->cpus_max <= 0 || u.cpus + s.cpus <= t->cpus_max + tiny) &&
           (t->gpus_max <= 0 || u.gpus + s.gpus <= t->gpus_max + tiny);
}

bool team_queues::within_guarantee(const job_spec &s) const {
    auto *t = find(s.team);
    if (!t || (t->cpus <= 0 && t->gpus <= 0))
        return false;
    auto u = used(s.team);
    return u.cpus + s.cpus <= t->cpus + tiny && u.gpus + s.gpus <= t->gpus + tiny;
}

double team_queues::share_used(const std::string &team) const {
    auto *t = find(team);
    auto u = used(team);
    double share = 0;
    if (t && t->cpus > 0)
        share = std::max(share, u.cpus / t->cpus);
    if (t && t->gpus > 0)
        share = std::max(share, u.gpus / t->gpus);
    if (!t || (t->cpus <= 0 && t->gpus <= 0))
        share = u.cpus + u.gpus;
    return share;
}

bool team_queues::can_ever_run(const job_spec &s) const {
    auto *t = find(s.team);
    if (!t)
        return false;
    double n = s.shape == job_shape::service ? s.tasks : 1;
    return (t->cpus_max <= 0 || n * s.cpus <= t->cpus_max + tiny) &&
           (t->gpus_max <= 0 || n * s.gpus <= t->gpus_max + tiny);
}

} // namespace spindlecroft::fairness
