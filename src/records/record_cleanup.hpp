// Deletes placement and done-task records that are no longer needed.
#pragma once
#include "common/time.hpp"
#include "records/done_records.hpp"
#include "records/durable_write.hpp"
#include "records/placement_records.hpp"
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace spindlecroft::records {

// Periodically collects obsolete records and queues their deletion until writes are available.
class record_cleanup {
  public:
    // Collects obsolete records, at most once per record_cleanup_interval.
    void sweep(placement_records &placements, done_records &done, time_point now);
    // Appends at most `max_writes` writes and reduces `max_writes` by their number.
    void take_writes(std::vector<durable_write> &out, std::size_t &max_writes);

  private:
    void add(const std::vector<std::string> &keys);

    std::vector<durable_write> pending_; // the latest is written first
    std::optional<time_point> last_sweep_;
};

} // namespace spindlecroft::records
