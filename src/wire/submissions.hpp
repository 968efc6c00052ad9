// Messages between users and us: submissions, their answers, the state of a job.
//
//   on the wire   here
//   uid           id
//   lot           job class
//   crew          team
//   rank          priority (critical, urgent, standard, idle: critical, high, normal, low)
//   standing      service (a shape of job)
//   threads       tasks
//   cores         cpus
//   memGb         memory
//   bobbin        image; sizeGb its size
//   frames        machine types
//   croft         zone
//   samePlace     all tasks in one zone
//   scatter       spread over several zones
//   loaners       may use spot machines
//   reckonS       estimated run time
//   knotS, tieS   interval and duration of checkpoints
//   dueS          deadline
//   awaits        predecessors
//   stage         state (aborted: cancelled)
#pragma once
#include "wire/malformed_message.hpp"
#include "wire/types.hpp"
#include <string>
#include <string_view>

namespace spindlecroft::wire {

inline constexpr const char *path_jobs = "/submissions";
inline constexpr const char *path_ready = "/ready";
inline constexpr const char *path_suffix_cancel = "abort";

/// True for ids of the form job-NNN: at most 100 characters of digits, letters, '-', '_' and '.'.
[[nodiscard]] bool valid_job_id(const std::string &id);
[[nodiscard]] std::string_view job_state_name(job_state state);

/// Throws malformed_message.
job_spec parse_submission(const std::string &body);
/// The job as kept in the key-value store: the same fields as a submission.
[[nodiscard]] std::string encode_job_spec(const job_spec &spec);
[[nodiscard]] std::string encode_accepted(const std::string &id, job_state state);
[[nodiscard]] std::string encode_status(const job_status &status);
[[nodiscard]] std::string encode_error(const std::string &what);

} // namespace spindlecroft::wire
