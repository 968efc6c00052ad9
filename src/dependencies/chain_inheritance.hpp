// Inheritance of urgency from unfinished dependents: a job gets the highest priority of the jobs
// that depend on it, and due times early enough for them to meet their own.
#pragma once
#include "catalog/dependency_graph.hpp"
#include "catalog/job.hpp"
#include "common/time.hpp"
#include "fairness/chain_order.hpp"
#include "fairness/team_queues.hpp"
#include "model/cluster_state.hpp"
#include "settings/settings.hpp"
#include <optional>
#include <set>
#include <string>

namespace spindlecroft::dependencies {

/// Keeps the inherited priorities and due times of the jobs up to date.
class chain_inheritance {
  public:
    /// All arguments must outlive this object.
    chain_inheritance(const settings::settings &settings, model::cluster_state &state,
                      const fairness::team_queues &teams)
        : settings_(settings), state_(state), teams_(teams) {}

    /// Recomputes what each job in the graph inherits, and resets the jobs that no longer inherit
    /// anything.
    void update(const catalog::dependency_graph &graph);

  private:
    /// Returns the job's own urgency, or nothing if it is unknown or over.
    [[nodiscard]] std::optional<fairness::job_urgency> urgency_of(const std::string &id) const;
    [[nodiscard]] fairness::due_times own_due_times(const catalog::job &job,
                                                    seconds deadline) const;
    [[nodiscard]] seconds estimate_duration(const catalog::job &job) const;
    [[nodiscard]] double wave_count(const catalog::job &job) const;
    [[nodiscard]] seconds slowest_image_fetch(const job_spec &spec) const;
    void assign(const std::string &id, const fairness::inherited_urgency &inherited);

    const settings::settings &settings_;
    model::cluster_state &state_;
    const fairness::team_queues &teams_;
    std::set<std::string> inheriting_jobs_; // jobs that inherited a priority or due times
};

} // namespace spindlecroft::dependencies
