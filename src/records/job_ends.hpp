// Ends jobs: once a job is complete, or cancelled and without attempts, its ended record is
// written.
#pragma once
#include "catalog/dependency_graph.hpp"
#include "catalog/job.hpp"
#include "common/time.hpp"
#include "model/cluster_state.hpp"
#include "records/durable_write.hpp"
#include <optional>
#include <vector>

namespace spindlecroft::records {

// Replaces the active records of ended jobs by ended records.
class job_ends {
  public:
    // The state must outlive this.
    explicit job_ends(model::cluster_state &state) : state_(state) {}

    // Appends a write for each job that can end now.
    void take_writes(std::vector<durable_write> &out, time_point now);
    // Returns how the job ended if the write succeeded; the job is then removed from the state.
    [[nodiscard]] std::optional<catalog::wall_predecessor_end>
    on_written(const durable_write &write, bool ok, time_point now);

  private:
    [[nodiscard]] durable_write make_write(const catalog::job &job, time_point now) const;

    model::cluster_state &state_;
};

} // namespace spindlecroft::records
