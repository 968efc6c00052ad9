// Usage of the teams' guarantees and limits in a planning round.
#pragma once
#include "fairness/team_queues.hpp"
#include "model/cluster_state.hpp"
#include "settings/settings.hpp"
#include <map>
#include <string>

namespace spindlecroft::planning {

/// Counts the resources that each team uses, and marks the jobs that its guarantee covers.
class quota_accounting {
  public:
    quota_accounting(const settings::settings &settings, model::cluster_state &state)
        : settings_(settings), state_(state), teams_(settings.teams) {}

    /// Counts the teams' current usage and marks the jobs that fit their team's guarantee.
    void begin_round();
    /// Adds one queued task of the job to its team's usage.
    void task_queued(const job_spec &spec) { teams_.add(spec.team, spec); }
    /// Records that a running task of the job is being stopped, which will free its CPUs.
    void task_stopping(const job_spec &spec) { stopping_cpus_[spec.team] += spec.cpus; }
    /// Returns the CPUs that the team uses beyond its guarantee, without those of tasks that are
    /// being stopped. Negative for a team that uses less than its guarantee.
    [[nodiscard]] double cpus_beyond_guarantee(const std::string &team) const;
    /// Returns whether another team uses enough CPUs beyond its guarantee for such a task.
    [[nodiscard]] bool others_beyond_guarantee(const job_spec &spec) const;
    [[nodiscard]] const fairness::team_queues &teams() const { return teams_; }

  private:
    void count_usage();
    void mark_guaranteed();
    [[nodiscard]] bool any_guarantee() const;

    const settings::settings &settings_;
    model::cluster_state &state_;
    fairness::team_queues teams_;
    std::map<std::string, double> stopping_cpus_; // by team, in this round
};

} // namespace spindlecroft::planning
