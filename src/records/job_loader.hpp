// Loads active jobs from their durable records, on failover and later from the watch.
#pragma once
#include "catalog/job.hpp"
#include "common/time.hpp"
#include "dependencies/dependency_tracker.hpp"
#include "model/cluster_state.hpp"
#include "wire/codec.hpp"
#include "wire/types.hpp"
#include <cstdint>
#include <string>

namespace spindlecroft::records {

// Applies job records to the cluster state.
class job_loader {
  public:
    // Both must outlive this.
    job_loader(model::cluster_state &state, dependencies::dependency_tracker &dependencies)
        : state_(state), dependencies_(dependencies) {}

    // Adds a job that isn't in the state yet.
    void load(const std::string &id, const wire::job_record &record, std::uint64_t version,
              time_point now);
    // Applies a new or changed job record.
    void on_record(const std::string &id, const wire::job_record &record, std::uint64_t version,
                   time_point now);
    // Applies a durable cancel that was announced before the job's record arrives.
    void on_cancel(const cancel_notice &notice, time_point now);
    // Determines which tasks are still to be placed. To be called when all jobs, placements and
    // done tasks of earlier leaders are loaded.
    void restore_waiting_tasks();

  private:
    model::cluster_state &state_;
    dependencies::dependency_tracker &dependencies_;
};

} // namespace spindlecroft::records
