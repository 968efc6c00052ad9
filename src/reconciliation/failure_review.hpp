// Draws the conclusions from failed attempts: suspect jobs are retried one task at a time, faulty
// machines are quarantined. The failure ledger holds the facts; this class applies them to the jobs
// and machines.
#pragma once
#include "common/time.hpp"
#include "model/cluster_state.hpp"
#include <string>
#include <vector>

namespace spindlecroft::reconciliation {

class failure_review {
  public:
    explicit failure_review(model::cluster_state &state) : state_(state) {}

    // Jobs that an earlier leader found to fail wherever they ran.
    void restore_suspects(const std::vector<std::string> &jobs, time_point now);
    void on_attempt_failed(workers::machine &machine, catalog::job &job,
                           const catalog::attempt &attempt, time_point now);
    // A completed attempt shows that the job works.
    void on_attempt_completed(const catalog::job &job);
    // To be called from time to time: attempts that run for long enough show that their jobs work.
    void review();
    // A suspect job is retried one task at a time, each after a pause.
    [[nodiscard]] bool may_retry(const catalog::job &job, time_point now) const;

  private:
    [[nodiscard]] bool is_working(const catalog::job &job) const;
    void quarantine_faulty();

    model::cluster_state &state_;
};

} // namespace spindlecroft::reconciliation
