// Counts the teams' usage, and determines which jobs their guarantees cover.
#include "planning/quota_accounting.hpp"
#include <algorithm>
#include <vector>

namespace spindlecroft::planning {

namespace {

// Amounts are decimal, so sums of them are not exact.
constexpr double tolerance = 1e-9;

} // namespace

void quota_accounting::begin_round() {
    count_usage();
    mark_guaranteed();
}

void quota_accounting::count_usage() {
    teams_.clear_usage();
    stopping_cpus_.clear();
    for (const auto &[id, job] : state_.jobs()) {
        int task_count = static_cast<int>(job.queued_on.size());
        for (const auto &[index, attempt] : job.current_attempts) {
            if (!attempt.holds_resources())
                continue;
            ++task_count;
            if (attempt.stop_requested)
                task_stopping(job.spec);
        }
        if (task_count > 0)
            teams_.add(job.spec.team, job.spec, task_count);
    }
}

bool quota_accounting::any_guarantee() const {
    return std::any_of(settings_.teams.begin(), settings_.teams.end(),
                       [](const auto &team) { return team.cpus > 0 || team.gpus > 0; });
}

// A job that does not fit its team's guarantee as a whole is not covered: it would wait for other
// jobs anyway, and preempting tasks for it would waste their progress.
void quota_accounting::mark_guaranteed() {
    if (!any_guarantee())
        return;
    std::vector<catalog::job *> by_age;
    for (auto &[id, job] : state_.jobs())
        if (!job.is_closed() && job.ready && !state_.failures().is_suspect(id))
            by_age.push_back(&job);
    std::sort(by_age.begin(), by_age.end(),
              [](const auto *left, const auto *right) { return left->ready_at < right->ready_at; });
    std::map<std::string, fairness::usage> requested; // by team, the sum over its jobs so far
    for (auto *job : by_age) {
        const auto &spec = job->spec;
        auto &team_sum = requested[spec.team];
        team_sum.cpus += spec.tasks * spec.cpus;
        team_sum.gpus += spec.tasks * spec.gpus;
        const auto *team = teams_.find(spec.team);
        job->guaranteed = team && team_sum.cpus <= team->cpus + tolerance &&
                          team_sum.gpus <= team->gpus + tolerance;
    }
}

double quota_accounting::cpus_beyond_guarantee(const std::string &team) const {
    const auto *team_settings = teams_.find(team);
    auto stopping = stopping_cpus_.find(team);
    return teams_.usage_of(team).cpus - (stopping == stopping_cpus_.end() ? 0 : stopping->second) -
           (team_settings ? team_settings->cpus : 0);
}

bool quota_accounting::others_beyond_guarantee(const job_spec &spec) const {
    return std::any_of(settings_.teams.begin(), settings_.teams.end(), [&](const auto &team) {
        return team.name != spec.team && cpus_beyond_guarantee(team.name) >= spec.cpus;
    });
}

} // namespace spindlecroft::planning
