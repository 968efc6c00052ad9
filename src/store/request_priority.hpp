// Who goes first when the request budget is short.
#pragma once

namespace spindlecroft::store {

// From the most to the least urgent. The order counts: a budget keeps a reserve for every step up,
// and group commit sends the more urgent first.
enum class request_priority {
    leadership,   // taking, keeping and giving up the leader key; never delayed by our own budget
    cancel,       // a user cancels a job
    user_request, // a user submits a job or asks for one
    placement,    // starts of tasks and rentals of machines
    job_end,      // ends of jobs
    background,   // what nobody waits for
};

} // namespace spindlecroft::store
