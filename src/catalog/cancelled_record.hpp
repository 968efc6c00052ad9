// Builds the record of a job that its user cancels.
#pragma once
#include "common/time.hpp"
#include "wire/codec.hpp"

namespace spindlecroft::catalog {

// Returns the job's record marked as cancelled, in at most max_bytes (encoded) if possible. The
// predecessors are removed; fields that only restrict where tasks may run are dropped if the record
// is too long.
wire::job_record cancelled_record(wire::job_record record, wall_time cancelled_at,
                                  std::size_t max_bytes);

} // namespace spindlecroft::catalog
