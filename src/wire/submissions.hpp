// Messages between users and controllers: submissions and their answers, the status of a job.
//
//   on the wire   in the program
//   uid           id
//   lot           job class
//   crew          team
//   rank          priority (critical, urgent, standard, idle: critical, high, normal, low)
//   standing      service (a job shape)
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

/// Returns whether an id starts with "job-" and consists of at most 100 digits, letters, '-', '_'
/// and '.'.
[[nodiscard]] bool valid_job_id(const std::string &id);
/// Returns the name of a state on the wire and in records.
[[nodiscard]] std::string_view job_state_name(job_state state);

/// Parses a submission. Throws malformed_message.
job_spec parse_submission(const std::string &body);
/// Encodes a job with the fields of a submission, as in its record in the key-value store.
[[nodiscard]] std::string encode_job_spec(const job_spec &spec);
[[nodiscard]] std::string encode_accepted(const std::string &id, job_state state);
[[nodiscard]] std::string encode_status(const job_status &status);
[[nodiscard]] std::string encode_error(const std::string &message);

} // namespace spindlecroft::wire
