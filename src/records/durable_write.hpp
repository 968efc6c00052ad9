// Changes to the key-value store that must be durable before their consequences take place.
#pragma once
#include "catalog/job.hpp"
#include "wire/types.hpp"
#include <cstdint>
#include <string>
#include <vector>

namespace spindlecroft::records {

// What a write is about; its result is handed to the part that asked for it.
enum class write_kind { placements, done_tasks, job_end, cleanup, rental, suspects };

// An attempt that a placement record names.
struct placed_attempt {
    catalog::task_ref task;
    std::uint64_t number = 0;
};

// One transaction. Beside its conditions and operations it carries what its kind needs to know once
// the result is there; the fields of other kinds are empty.
struct durable_write {
    write_kind kind = write_kind::placements;
    std::string job;                       // job_end: the job
    std::vector<txn_condition> conditions; // on keys that others write too
    std::vector<txn_op> ops; // on keys that only the leader writes, and the job's record
    std::string record_name; // placed, done: the record's name
    std::vector<placed_attempt> placed_attempts; // placed: newly covered
    std::vector<catalog::task_ref> done_tasks;   // done: newly covered
    std::string rental_round;                    // rental_request: the round's name
    std::vector<std::string> suspects;           // suspects: the jobs
};

} // namespace spindlecroft::records
