// Priorities of requests to the key-value store when the request budget is short.
#pragma once

namespace spindlecroft::store {

// Ordered from the most to the least urgent. The order matters: a token bucket keeps a reserve for
// each higher level, and group commit sends more urgent units first.
enum class request_priority {
    leadership,   // leader key and its lease; never delayed by the local budget
    cancel,       // a user cancels a job
    user_request, // a user submits a job or queries one
    placement,    // placements of tasks and rentals of machines
    job_end,      // ends of jobs
    background,   // nothing waits for it
};

} // namespace spindlecroft::store
