// Writes to the key-value store that must be durable before the leader acts on them.
#pragma once
#include "catalog/job.hpp"
#include "wire/types.hpp"
#include <cstdint>
#include <string>
#include <vector>

namespace spindlecroft::records {

// The purpose of a write; determines which component receives the result.
enum class write_kind { placements, done_tasks, job_end, cleanup, rental, suspects };

// An attempt that a placement record contains.
struct placed_attempt {
    catalog::task_ref task;
    std::uint64_t number = 0;
};

// One transaction. Besides its conditions and operations it carries the data that its kind needs
// when the result arrives; the fields of other kinds are empty.
struct durable_write {
    write_kind kind = write_kind::placements;
    std::string job;                       // job_end: the job
    std::vector<txn_condition> conditions; // on keys that others write too
    std::vector<txn_op> ops; // on keys that only the leader writes, and on the job's record
    std::string record_name; // placements, done_tasks: the record's name
    std::vector<placed_attempt> placed_attempts; // placements: newly recorded
    std::vector<catalog::task_ref> done_tasks;   // done_tasks: newly recorded
    std::string rental_round;                    // rental: the round's name
    std::vector<std::string> suspects;           // suspects: the jobs
};

} // namespace spindlecroft::records
