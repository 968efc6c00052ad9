// Deletion of records that are not needed any more.
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

// Looks for ended records now and then, and keeps the keys to delete until there is room for it.
class record_cleanup {
  public:
    void sweep(placement_records &placements, done_records &done, time_point now);
    // Appends at most `room` writes and lowers `room` accordingly.
    void take_writes(std::vector<durable_write> &out, std::size_t &room);

  private:
    void add(const std::vector<std::string> &keys);

    std::vector<durable_write> pending_; // the latest is written first
    std::optional<time_point> last_sweep_;
};

} // namespace spindlecroft::records
