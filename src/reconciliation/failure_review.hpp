// Applies the findings of the failure ledger to jobs and machines: suspect jobs are retried one
// task at a time, faulty machines are quarantined.
#pragma once
#include "common/time.hpp"
#include "model/cluster_state.hpp"
#include <string>
#include <vector>

namespace spindlecroft::reconciliation {

/// Reports failures to the failure ledger and acts on its findings.
class failure_review {
  public:
    explicit failure_review(model::cluster_state &state) : state_(state) {}

    /// Marks jobs as suspect that an earlier leader found to fail on every machine.
    void restore_suspects(const std::vector<std::string> &jobs, time_point now);
    /// To be called when an attempt on the machine has exited with an error.
    void on_attempt_failed(workers::machine &machine, catalog::job &job,
                           const catalog::attempt &attempt, time_point now);
    /// To be called when an attempt has completed, which proves that the job works.
    void on_attempt_completed(const catalog::job &job);
    /// To be called periodically. Attempts that have run long enough prove that their jobs work.
    void review();
    /// Whether a task of the job may be placed now. A suspect job is retried one task at a time,
    /// each after a pause.
    [[nodiscard]] bool may_retry(const catalog::job &job, time_point now) const;

  private:
    /// Whether a task of the job has completed or an attempt has run long enough.
    [[nodiscard]] bool is_working(const catalog::job &job) const;
    void quarantine_faulty_machines();

    model::cluster_state &state_;
};

} // namespace spindlecroft::reconciliation
