// The records of jobs in the key-value store: accepted or cancelled, ended, suspect.
//
//   in the record   in the program
//   at              time at which the job was accepted, or ended
//   stage           final state of the job (aborted: cancelled)
//   job             a job without predecessors, with the fields of a submission
//   dependentJob    a job with predecessors
#pragma once
#include "common/time.hpp"
#include "wire/malformed_message.hpp"
#include "wire/types.hpp"
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace spindlecroft::wire {

/// The record of a job that has not ended.
struct job_record {
    bool cancelled = false;
    wall_time accepted_at{};
    std::optional<wall_time> cancelled_at; // nullopt: unknown
    job_spec spec;
};
[[nodiscard]] std::string encode_job_record(const job_record &record);
/// Parses the record. Throws malformed_message, as do the other parsers.
[[nodiscard]] job_record parse_job_record(const std::string &value);

/// The record of an ended job.
struct ended_record {
    job_state state = job_state::done;
    std::uint32_t done = 0;            // number of completed tasks
    std::optional<wall_time> ended_at; // nullopt: unknown, as in records of versions before 0.5
};
[[nodiscard]] std::string encode_ended_record(const ended_record &record);
[[nodiscard]] ended_record parse_ended_record(const std::string &value);

/// Encodes the record of suspect jobs, which fail on every machine.
[[nodiscard]] std::string encode_suspects(const std::vector<std::string> &jobs);
[[nodiscard]] std::vector<std::string> parse_suspects(const std::string &value);
/// Returns the most bytes that one more job adds to the record of suspect jobs; for an empty id,
/// the size of the record without jobs.
[[nodiscard]] std::size_t suspects_bytes(const std::string &job);

} // namespace spindlecroft::wire
