// Requests to the consensus-backed key-value store and its answers.
//
//   on the wire   in the program
//   mark          revision of one key (0 in a condition: the key must not exist)
//   ledger        revision of the whole store
//   loan          lease, at whose end a key is deleted
//   when          conditions of a transaction
//   apply         its operations: write with data, or drop
//   starts        prefix of a read or watch
//   news          events of a watch
//   holdMs        how long a watch without events is held open
#pragma once
#include "wire/malformed_message.hpp"
#include "wire/types.hpp"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace spindlecroft::wire {

/// The answer to a transaction, whether it was applied or rejected.
struct txn_answer {
    std::uint64_t revision = 0;      // of the store, after the transaction
    std::vector<std::string> failed; // keys whose condition did not hold
    std::string error;               // empty: none
};
/// Encodes a transaction, which is applied only if all conditions hold.
[[nodiscard]] std::string encode_txn(const std::vector<txn_condition> &conditions,
                                     const std::vector<txn_op> &ops);
/// Parses the answer to a transaction. Throws malformed_message, as do the other parsers.
[[nodiscard]] txn_answer parse_txn_answer(const std::string &body);

/// A page of keys, or the events of a watch.
struct range_answer {
    std::vector<kv_item> items;
    bool has_more = false;      // another page follows
    std::uint64_t revision = 0; // of the store at the time of the answer
};
/// Parses a page of keys.
[[nodiscard]] range_answer parse_range_answer(const std::string &body);
/// Returns path and query of the page after the key `after`; empty: of the first page.
[[nodiscard]] std::string range_target(const std::string &prefix, const std::string &after,
                                       int limit);

/// Parses the answer to a read of one key.
[[nodiscard]] std::optional<kv_item> parse_key_value_item(const std::string &body);
/// Returns the store's revision from the answer to a read of a key that does not exist.
[[nodiscard]] std::uint64_t parse_store_revision(const std::string &body);

/// Parses the events of a watch; a key without a value was deleted.
[[nodiscard]] range_answer parse_watch_answer(const std::string &body);
/// Returns path and query of a watch for changes after the store's revision `since`.
[[nodiscard]] std::string watch_target(const std::string &prefix, std::uint64_t since, int hold_ms);

/// Returns whether two texts are equal as JSON, regardless of formatting.
[[nodiscard]] bool json_equal(const std::string &left, const std::string &right);

/// Encodes the request for a lease of the given duration.
[[nodiscard]] std::string encode_lease_request(int ttl_ms);
/// Returns the id of the granted lease.
[[nodiscard]] std::uint64_t parse_lease_id(const std::string &body);

} // namespace spindlecroft::wire
