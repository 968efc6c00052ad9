// Active jobs as their durable records tell of them: read on taking over, or from the watch later.
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

// Brings the jobs' records into the state.
class job_loader {
  public:
    // Both must outlive this.
    job_loader(model::cluster_state &state, dependencies::dependency_tracker &dependencies)
        : state_(state), dependencies_(dependencies) {}

    // A job that is not in the state yet.
    void load(const std::string &id, const wire::job_record &record, std::uint64_t version,
              time_point now);
    // A job's record, new or changed.
    void on_record(const std::string &id, const wire::job_record &record, std::uint64_t version,
                   time_point now);
    // A cancel that is durable, told before the job's record comes.
    void on_cancel(const cancel_notice &notice, time_point now);
    // All jobs, placements and done tasks of earlier leaders are loaded: which tasks remain.
    void restore_waiting_tasks();

  private:
    model::cluster_state &state_;
    dependencies::dependency_tracker &dependencies_;
};

} // namespace spindlecroft::records
