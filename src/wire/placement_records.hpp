// Our records in the key-value store of where tasks were placed, which are done, who leads, and
// what was rented. Placements, done tasks and rentals of many jobs share a record: the store limits
// the writes, and the length of a value.
#pragma once
#include "common/time.hpp"
#include "wire/malformed_message.hpp"
#include "wire/types.hpp"
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace spindlecroft::wire {

/// One attempt of a task and the machine that it was given to.
struct placed_task {
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    std::string machine;
    bool operator==(const placed_task &) const = default;
};
/// Placements of any jobs, as {"JOB":[[INDEX,ATTEMPT,"MACHINE"],...],...}.
[[nodiscard]] std::string encode_placements(const std::vector<placed_task> &tasks);
/// Most bytes that one more placement adds.
[[nodiscard]] std::size_t placement_bytes(const placed_task &task);
/// Throws malformed_message, as do the other parsers.
[[nodiscard]] std::vector<placed_task> parse_placements(const std::string &value);

/// Which tasks of a part of a job are done.
struct done_part {
    std::string job;
    std::uint32_t part = 0; // its tasks begin at part * constants::tasks_per_done_part
    std::vector<bool> bits;
    bool operator==(const done_part &) const = default;
};
/// Done tasks of any jobs, as {"JOB/PART":"HEX",...}: four tasks a digit, the first the lowest bit.
[[nodiscard]] std::string encode_done_parts(const std::vector<done_part> &parts);
/// Most bytes that a part of so many tasks takes.
[[nodiscard]] std::size_t done_part_bytes(const std::string &job, std::size_t tasks);
[[nodiscard]] std::vector<done_part> parse_done_parts(const std::string &value);

/// The leader as recorded under the key of its lease.
struct leader_record {
    std::string node;
    std::string incarnation;
    std::uint64_t token_raises = 0; // counts the raises of the token within one leadership
};
[[nodiscard]] std::string encode_leader_record(const leader_record &record);
[[nodiscard]] leader_record parse_leader_record(const std::string &value);

/// Requests of one round of renting. The cloud gives the same answer to a repeated request, so the
/// machines' names need not be kept.
struct rental_record {
    std::vector<rental_request> requests;
    wall_time requested_at{};
};
[[nodiscard]] std::string encode_rental_record(const rental_record &record);
/// Most bytes that one more request adds to the record; one without a name: the record without any.
[[nodiscard]] std::size_t rental_bytes(const rental_request &request);
[[nodiscard]] rental_record parse_rental_record(const std::string &value);

} // namespace spindlecroft::wire
