// What each team uses of its guarantee and limit in a round of bids.
#pragma once
#include "fairness/team_queues.hpp"
#include "model/cluster_state.hpp"
#include "settings/settings.hpp"
#include <map>
#include <string>

namespace spindlecroft::planning {

class quota_accounting {
  public:
    quota_accounting(const settings::settings &settings, model::cluster_state &state)
        : settings_(settings), state_(state), teams_(settings.teams) {}

    // Counts what the teams hold now, and marks the jobs that fit their team's guarantee.
    void begin_round();
    // One more task of the job is queued.
    void task_queued(const job_spec &spec) { teams_.add(spec.team, spec); }
    // A running task of the job is being stopped: its cpus are about to be free.
    void task_stopping(const job_spec &spec) { stopping_cpus_[spec.team] += spec.cpus; }
    // The cpus that the team uses beyond its guarantee; those about to be free don't count.
    [[nodiscard]] double cpus_beyond_guarantee(const std::string &team) const;
    // Some other team uses so much beyond its guarantee that such a task could take its place.
    [[nodiscard]] bool others_beyond_guarantee(const job_spec &spec) const;
    [[nodiscard]] const fairness::team_queues &teams() const { return teams_; }

  private:
    void count_usage();
    void mark_guaranteed();
    [[nodiscard]] bool any_guarantee() const;

    const settings::settings &settings_;
    model::cluster_state &state_;
    fairness::team_queues teams_;
    std::map<std::string, double> stopping_cpus_; // by team, this round
};

} // namespace spindlecroft::planning
