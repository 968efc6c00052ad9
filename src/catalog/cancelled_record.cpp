#include "catalog/cancelled_record.hpp"

namespace spindlecroft::catalog {

// Shortens the record if necessary: it may have been written when the key-value store still
// accepted larger values, and the store would then reject the cancel every time.
wire::job_record cancelled_record(wire::job_record record, wall_time cancelled_at,
                                  std::size_t max_bytes) {
    record.cancelled = true;
    record.cancelled_at = cancelled_at;
    record.spec.predecessors.clear();
    auto too_long = [&] { return wire::encode_job_record(record).size() > max_bytes; };
    if (too_long())
        record.spec.machine_types.reset();
    if (too_long()) {
        record.spec.zone.reset();
        record.spec.image.assign(1, '-');
    }
    return record;
}

} // namespace spindlecroft::catalog
