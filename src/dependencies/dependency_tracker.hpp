// Readiness and cancellation of jobs with predecessors.
//
// Cancelling a job cancels its dependents, and the recorded end of a predecessor may cancel further
// jobs. The dependency graph and the cancellation of a job's own tasks are therefore kept together.
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

/// Owns the dependency graph of the active jobs. Its times are on the steady clock.
class dependency_tracker {
  public:
    /// Both arguments must outlive the tracker.
    dependency_tracker(const settings::settings &settings, model::cluster_state &state)
        : settings_(settings), state_(state) {}

    /// Adds a job that became active. If a predecessor was cancelled, the job is cancelled as well.
    void add(catalog::job &added, time_point now);
    /// Applies the end of a predecessor as its durable record states it.
    void on_predecessor_end(const std::string &id, const catalog::wall_predecessor_end &end,
                            time_point now);
    /// Removes a job whose end this leader has recorded durably, and applies the end to its
    /// dependents.
    void on_job_ended(const std::string &id, const catalog::wall_predecessor_end &end,
                      time_point now);
    /// Cancels the job and all jobs that depend on it. recorded_at: the time of a user's
    /// cancellation in its durable record, or nothing if it is unknown or a predecessor was
    /// cancelled.
    void cancel(catalog::job &cancelled, std::optional<wall_time> recorded_at, time_point now);
    /// Returns the predecessors for which neither an active nor an ended record is known.
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
