// Readiness and cancellation of jobs that wait for others.
//
// Cancelling a job cancels those that depend on it, and learning how a job ended may cancel others;
// so the dependency graph and the cancellation of a job's own tasks are kept together here.
#pragma once
#include "catalog/dependency_graph.hpp"
#include "catalog/job.hpp"
#include "common/time.hpp"
#include "model/cluster_state.hpp"
#include "settings/settings.hpp"
#include <optional>
#include <set>
#include <string>

namespace spindlecroft::dependencies {

// Owns the dependency graph of the active jobs; its times are of the steady clock.
class dependency_tracker {
  public:
    // Both must outlive the tracker.
    dependency_tracker(const settings::settings &settings, model::cluster_state &state)
        : settings_(settings), state_(state) {}

    // A job became active. It may be cancelled here, with a predecessor that was.
    void add(catalog::job &added, time_point now);
    // How a predecessor ended, as its durable record says.
    void on_predecessor_end(const std::string &id, const catalog::wall_predecessor_end &end,
                            time_point now);
    // The job ended durably, by this leader's own write, and is not active any more.
    void on_job_ended(const std::string &id, const catalog::wall_predecessor_end &end,
                      time_point now);
    // Cancels the job and all that depend on it. recorded_at: when the user was told, if a user
    // cancelled it.
    void cancel(catalog::job &cancelled, std::optional<wall_time> recorded_at, time_point now);
    // Predecessors of which neither an active nor an ended record is known.
    [[nodiscard]] std::set<std::string> unresolved_predecessors() const;
    [[nodiscard]] const catalog::dependency_graph &graph() const { return graph_; }

  private:
    void apply(const catalog::dependency_graph::changes &changes, time_point now);
    void mark_ready(const std::string &id);
    void withdraw_tasks(catalog::job &cancelled);

    const settings::settings &settings_;
    model::cluster_state &state_;
    catalog::dependency_graph graph_;
};

} // namespace spindlecroft::dependencies
