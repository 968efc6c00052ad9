// What each team uses, compared with its guarantee and its limit.
#pragma once
#include "settings/settings.hpp"
#include "wire/types.hpp"
#include <map>
#include <string>
#include <vector>

namespace spindlecroft::fairness {

/// What a team's present tasks take.
struct usage {
    double cpus = 0;
    double gpus = 0;
};

/// The teams of the settings and their usage. Teams are served in turn, by share_used.
class team_queues {
  public:
    explicit team_queues(std::vector<settings::team> teams);
    /// The team's settings, or nullptr for an unknown team.
    [[nodiscard]] const settings::team *find(const std::string &team) const;
    void clear_usage();
    /// Counts one task of the job in (sign 1) or out (sign -1).
    void add(const std::string &team, const job_spec &spec, int sign = 1);
    [[nodiscard]] usage usage_of(const std::string &team) const;
    /// One more such task stays within the team's limit.
    [[nodiscard]] bool within_limit(const job_spec &spec) const;
    /// One more such task stays within what the team is guaranteed.
    [[nodiscard]] bool within_guarantee(const job_spec &spec) const;
    /// Turn by shares: the team that uses least for its share goes first.
    [[nodiscard]] double share_used(const std::string &name) const;
    /// The limit permits the job at all (array: one task; service: all tasks).
    [[nodiscard]] bool can_ever_run(const job_spec &spec) const;

  private:
    std::vector<settings::team> teams_;
    std::map<std::string, usage> used_; // by team
};

} // namespace spindlecroft::fairness
