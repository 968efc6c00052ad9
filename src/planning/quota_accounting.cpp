// Teams' use, and which jobs their guarantees cover.
#include "planning/quota_accounting.hpp"
#include <algorithm>
#include <vector>

namespace spindlecroft::planning {

namespace {

constexpr double tolerance = 1e-9; // amounts are decimal, sums of them are not exact

} // namespace

void quota_accounting::begin_round() {
    count_usage();
    mark_guaranteed();
}

void quota_accounting::count_usage() {
    teams_.clear_usage();
    stopping_cpus_.clear();
    for (const auto &[id, job] : state_.jobs()) {
        int held = static_cast<int>(job.queued_on.size());
        for (const auto &[index, attempt] : job.current_attempts) {
            if (!attempt.holds_resources())
                continue;
            ++held;
            if (attempt.stop_requested)
                task_stopping(job.spec);
        }
        if (held > 0)
            teams_.add(job.spec.team, job.spec, held);
    }
}

bool quota_accounting::any_guarantee() const {
    return std::any_of(settings_.teams.begin(), settings_.teams.end(),
                       [](const auto &team) { return team.cpus > 0 || team.gpus > 0; });
}

// Guards against stopping work for nothing: a job that does not fit its team's guarantee as a whole
// waits for others anyway, and each task that is stopped for it has run in vain.
void quota_accounting::mark_guaranteed() {
    if (!any_guarantee())
        return;
    std::vector<catalog::job *> by_age;
    for (auto &[id, job] : state_.jobs())
        if (!job.is_closed() && job.ready && !state_.failures().is_suspect(id))
            by_age.push_back(&job);
    std::sort(by_age.begin(), by_age.end(),
              [](const auto *left, const auto *right) { return left->ready_at < right->ready_at; });
    std::map<std::string, fairness::usage> asked; // by the team's jobs so far
    for (auto *job : by_age) {
        const auto &spec = job->spec;
        auto &sum = asked[spec.team];
        sum.cpus += spec.tasks * spec.cpus;
        sum.gpus += spec.tasks * spec.gpus;
        const auto *team = teams_.find(spec.team);
        job->guaranteed =
            team && sum.cpus <= team->cpus + tolerance && sum.gpus <= team->gpus + tolerance;
    }
}

double quota_accounting::cpus_beyond_guarantee(const std::string &team) const {
    const auto *quota = teams_.find(team);
    auto stopping = stopping_cpus_.find(team);
    return teams_.usage_of(team).cpus - (stopping == stopping_cpus_.end() ? 0 : stopping->second) -
           (quota ? quota->cpus : 0);
}

bool quota_accounting::others_beyond_guarantee(const job_spec &spec) const {
    return std::any_of(settings_.teams.begin(), settings_.teams.end(), [&](const auto &team) {
        return team.name != spec.team && cpus_beyond_guarantee(team.name) >= spec.cpus;
    });
}

} // namespace spindlecroft::planning
