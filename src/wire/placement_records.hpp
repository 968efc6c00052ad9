// The records in the key-value store of placements, done tasks, the leader and rental requests.
// Placements, done tasks and rentals of many jobs share a record, because the store limits the rate
// of writes, and the size of a value.
#pragma once
#include "common/time.hpp"
#include "wire/malformed_message.hpp"
#include "wire/types.hpp"
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace spindlecroft::wire {

/// One attempt of a task and the machine on which it was placed.
struct placed_task {
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    std::string machine;
    bool operator==(const placed_task &) const = default;
};
/// Encodes placements of any jobs as {"JOB":[[INDEX,ATTEMPT,"MACHINE"],...],...}.
[[nodiscard]] std::string encode_placements(const std::vector<placed_task> &tasks);
/// Returns the most bytes that one more placement adds to a record.
[[nodiscard]] std::size_t placement_bytes(const placed_task &task);
/// Parses a record of placements. Throws malformed_message, as do the other parsers.
[[nodiscard]] std::vector<placed_task> parse_placements(const std::string &value);

/// Which tasks are done in one part of a job, a range of constants::tasks_per_done_part tasks.
struct done_part {
    std::string job;
    std::uint32_t part = 0; // its first task is part * constants::tasks_per_done_part
    std::vector<bool> bits; // one per task; true: done
    bool operator==(const done_part &) const = default;
};
/// Encodes done tasks of any jobs as {"JOB/PART":"HEX",...}: four tasks per digit, the first in the
/// lowest bit.
[[nodiscard]] std::string encode_done_parts(const std::vector<done_part> &parts);
/// Returns the most bytes that a part with the given number of tasks takes in a record.
[[nodiscard]] std::size_t done_part_bytes(const std::string &job, std::size_t tasks);
[[nodiscard]] std::vector<done_part> parse_done_parts(const std::string &value);

/// The value of the leader key, which is bound to the leader's lease.
struct leader_record {
    std::string node;
    std::string incarnation;
    std::uint64_t token_raises = 0; // number of raises of the fencing token in this leadership
};
[[nodiscard]] std::string encode_leader_record(const leader_record &record);
[[nodiscard]] leader_record parse_leader_record(const std::string &value);

/// The rental requests of one scaling round. The cloud gives a repeated request the same answer, so
/// that the machines' ids need not be stored.
struct rental_record {
    std::vector<rental_request> requests;
    wall_time requested_at{};
};
[[nodiscard]] std::string encode_rental_record(const rental_record &record);
/// Returns the most bytes that one more request adds to the record; for a request without an id,
/// the size of the record without requests.
[[nodiscard]] std::size_t rental_bytes(const rental_request &request);
[[nodiscard]] rental_record parse_rental_record(const std::string &value);

} // namespace spindlecroft::wire
