// A queue for each team, served in turn by shares, inside the teams' limits.
#pragma once
#include "settings/settings.hpp"
#include "wire/types.hpp"
#include <map>
#include <string>
#include <vector>

namespace spindlecroft::fairness {

struct usage {
    double cpus = 0, gpus = 0;
};

class team_queues {
  public:
    explicit team_queues(std::vector<settings::team> teams);
    const settings::team *find(const std::string &team) const;
    void clear_usage();
    void add(const std::string &team, const job_spec &s, int sign = 1);
    usage used(const std::string &team) const;
    // One more such task stays within the team's limit.
    bool within_limit(const job_spec &s) const;
    bool within_guarantee(const job_spec &s) const;
    // Turn by shares: the team that uses least for its share goes first.
    double share_used(const std::string &team) const;
    // The limit permits the job at all (array: one task; service: all tasks).
    bool can_ever_run(const job_spec &s) const;

  private:
    std::vector<settings::team> teams_;
    std::map<std::string, usage> used_;
};

} // namespace spindlecroft::fairness
