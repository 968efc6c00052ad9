#include "records/record_cleanup.hpp"
#include "constants.hpp"
#include <utility>

namespace spindlecroft::records {

void record_cleanup::sweep(placement_records &placements, done_records &done, time_point now) {
    if (!elapsed(last_sweep_, constants::record_cleanup_interval, now))
        return;
    last_sweep_ = now;
    add(placements.take_obsolete_keys());
    add(done.take_obsolete_keys());
}

void record_cleanup::add(const std::vector<std::string> &keys) {
    for (const auto &key : keys) {
        durable_write write;
        write.kind = write_kind::cleanup;
        write.ops.push_back({key, "", 0});
        pending_.push_back(std::move(write));
    }
}

void record_cleanup::take_writes(std::vector<durable_write> &out, std::size_t &max_writes) {
    while (!pending_.empty() && max_writes > 0) {
        out.push_back(std::move(pending_.back()));
        pending_.pop_back();
        --max_writes;
    }
}

} // namespace spindlecroft::records
