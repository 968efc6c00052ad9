// The record of a job whose user cancels it.
#pragma once
#include "common/time.hpp"
#include "wire/codec.hpp"

namespace spindlecroft::catalog {

// The job's record with the cancel, in at most most_bytes if that can be had. It waits for nobody
// any more, and what only says where its tasks may run is left out where room is short.
wire::job_record cancelled_record(wire::job_record record, wall_time cancelled_at,
                                  std::size_t most_bytes);

} // namespace spindlecroft::catalog
