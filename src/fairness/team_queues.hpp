// The resources that each team uses, compared with its guarantee and its limit.
#pragma once
#include "settings/settings.hpp"
#include "wire/types.hpp"
#include <map>
#include <string>
#include <vector>

namespace spindlecroft::fairness {

/// The resources that a team's current tasks hold.
struct usage {
    double cpus = 0;
    double gpus = 0;
};

/// The configured teams and their usage. Teams are served in the order of share_used.
class team_queues {
  public:
    explicit team_queues(std::vector<settings::team> teams);
    /// Returns the team's settings, or null for an unknown team.
    [[nodiscard]] const settings::team *find(const std::string &team) const;
    void clear_usage();
    /// Adds the resources of this many tasks of the job to the team's usage. A negative count
    /// subtracts them.
    void add(const std::string &team, const job_spec &spec, int task_count = 1);
    [[nodiscard]] usage usage_of(const std::string &team) const;
    /// Returns whether one more such task stays within the team's limit.
    [[nodiscard]] bool within_limit(const job_spec &spec) const;
    /// Returns whether one more such task stays within the team's guarantee.
    [[nodiscard]] bool within_guarantee(const job_spec &spec) const;
    /// Returns the used part of the team's guarantee, of CPUs or GPUs, whichever is larger. Without
    /// a guarantee, the sum of its CPUs and GPUs. The team with the lowest value is served first.
    [[nodiscard]] double share_used(const std::string &name) const;
    /// Returns whether the team's limit allows the job to run at all: one task of an array, or all
    /// replicas of a service.
    [[nodiscard]] bool can_ever_run(const job_spec &spec) const;

  private:
    std::vector<settings::team> teams_;
    std::map<std::string, usage> used_; // by team
};

} // namespace spindlecroft::fairness
