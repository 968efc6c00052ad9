// JSON and CBOR codecs: validation of what comes in, the words of the wire for what goes out.
#pragma once
#include "common/time.hpp"
#include "wire/types.hpp"
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace spindlecroft::wire {

// A message that cannot be taken; what() names the field.
class malformed_message : public std::runtime_error {
    using std::runtime_error::runtime_error;
};

// --- paths ---
inline constexpr const char *path_jobs = "/submissions";
inline constexpr const char *path_ready = "/ready";
inline constexpr const char *path_heartbeat = "/checkin";
inline constexpr const char *path_commands = "/commands";
inline constexpr const char *path_machine_types = "/machine_types";
inline constexpr const char *path_machines = "/hosts";
inline constexpr const char *path_delete_machines = "/hosts/delete";
inline constexpr const char *suffix_cancel = "abort";

// True for ids of the form job-NNN: at most 100 characters of digits, letters, '-' and '_'.
bool valid_job_id(const std::string &id);
std::string_view state_word(job_state s);

// --- users ---
job_spec parse_submission(const std::string &body);
std::string encode_accepted(const std::string &id, job_state state);
std::string encode_status(const job_status &s);
std::string encode_error(const std::string &what);
// The job as kept in the key-value store: the same fields as a submission.
std::string encode_spec(const job_spec &s);

// --- workers ---
heartbeat parse_heartbeat(const std::string &body);
std::string encode_heartbeat_answer(std::uint64_t token, const std::vector<command> &commands);
std::string encode_direct_commands(std::uint64_t token, std::uint64_t incarnation,
                                   const std::vector<command> &commands);
std::string encode_redirect(const std::string &node);

// --- cloud ---
std::vector<machine_type> parse_machine_types(const std::string &body);
std::string encode_machine_types(const std::vector<machine_type> &types);
std::string encode_rental_request(const rental_request &r);
std::vector<std::string> parse_rented_machines(const std::string &body);
std::string encode_deletion(const std::vector<std::string> &machines);
struct listed_machine_page {
    std::vector<listed_machine> hosts;
    bool more = false;
};
listed_machine_page parse_machine_list(const std::string &body);
std::string machine_list_target(const std::string &after, int limit);

// --- key-value store ---
struct txn_answer {
    std::uint64_t revision = 0;
    std::vector<std::string> failed;
    std::string error;
};
std::string encode_txn(const std::vector<txn_condition> &when, const std::vector<txn_op> &ops);
txn_answer parse_txn(const std::string &body);
struct range_answer {
    std::vector<kv_item> items;
    bool more = false;
    std::uint64_t revision = 0;
};
range_answer parse_range(const std::string &body);
std::string range_target(const std::string &prefix, const std::string &after, int limit);
std::optional<kv_item> parse_item(const std::string &body);
std::uint64_t parse_revision(const std::string &body);
range_answer parse_watch(const std::string &body);
std::string watch_target(const std::string &prefix, std::uint64_t since, int hold_ms);
// Equal as JSON, whatever the spelling.
bool same_json(const std::string &a, const std::string &b);
std::string encode_ttl(int ms);
std::uint64_t parse_lease(const std::string &body);

// --- our records in the key-value store ---
struct job_record {
    bool cancelled = false;
    wall_time accepted_at{};
    std::optional<wall_time> cancelled_at; // nothing: unknown
    job_spec spec;
};
std::string encode_job_record(const job_record &r);
job_record parse_job_record(const std::string &value);
struct ended_record {
    job_state state = job_state::done;
    std::uint32_t done = 0;
    std::optional<wall_time> at; // nothing: unknown, as in records of versions before 0.5
};
std::string encode_ended(const ended_record &r);
ended_record parse_ended(const std::string &value);
struct placed_task {
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    std::string machine;
    bool operator==(const placed_task &) const = default;
};
// Placements of any jobs, by job.
std::string encode_placed(const std::vector<placed_task> &tasks);
// At most so many bytes does one more placement add.
std::size_t placed_bytes(const placed_task &t);
std::vector<placed_task> parse_placed(const std::string &value);
// Which tasks of a part of a job are done.
struct done_part {
    std::string job;
    std::uint32_t part = 0;
    std::vector<bool> bits;
    bool operator==(const done_part &) const = default;
};
// Done tasks of any jobs.
std::string encode_done(const std::vector<done_part> &parts);
// At most so many bytes does a part of so many tasks take.
std::size_t done_bytes(const std::string &job, std::size_t tasks);
std::vector<done_part> parse_done(const std::string &value);

// The record of jobs that fail wherever they run.
std::string encode_suspects(const std::vector<std::string> &jobs);
std::vector<std::string> parse_suspects(const std::string &value);
// What one more job adds to the record, at most; an empty name: the record without jobs.
std::size_t suspects_bytes(const std::string &job);
struct leader_record {
    std::string node, incarnation;
    std::uint64_t raise = 0; // counts the raises of the token within one leadership
};
std::string encode_leader(const leader_record &r);
leader_record parse_leader(const std::string &value);
// Requests of one round of renting. The cloud gives the same answer to a repeated request, so the
// machines' names need not be kept.
struct rental_record {
    std::vector<rental_request> requests;
    wall_time at{};
};
std::string encode_rental_record(const rental_record &r);
// What one more request adds to the record, at most; one without a name: the record without any.
std::size_t rental_bytes(const rental_request &r);
rental_record parse_rental_record(const std::string &value);

// --- between our own processes: CBOR maps of text to integers, texts and lists of cancels ---
// Of another version counts as not heard.
inline constexpr std::uint64_t peer_version = 2;
struct peer_message {
    std::map<std::string, std::uint64_t> numbers;
    std::map<std::string, std::string> texts;
    std::vector<cancel_notice> cancels;
    std::uint64_t number(const std::string &key, std::uint64_t fallback = 0) const;
    std::string text(const std::string &key) const;
};
std::string encode_peer(const peer_message &m);
peer_message parse_peer(const std::string &body);

} // namespace spindlecroft::wire
