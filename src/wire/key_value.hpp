// Requests to the consensus-backed key-value store and its answers.
//
//   on the wire   here
//   mark          revision of one key (0 in a condition: the key must not exist)
//   ledger        revision of the whole store
//   loan          lease, with which a key disappears
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

/// The answer to a transaction, be it applied or refused.
struct txn_answer {
    std::uint64_t revision = 0;      // of the store, after the transaction
    std::vector<std::string> failed; // keys whose condition did not hold
    std::string error;               // empty: none
};
[[nodiscard]] std::string encode_txn(const std::vector<txn_condition> &when,
                                     const std::vector<txn_op> &ops);
/// Throws malformed_message, as do the other parsers.
[[nodiscard]] txn_answer parse_txn_answer(const std::string &body);

/// A page of keys, or the events of a watch.
struct range_answer {
    std::vector<kv_item> items;
    bool has_more = false;      // another page follows
    std::uint64_t revision = 0; // of the store, as the answer shows it
};
[[nodiscard]] range_answer parse_range_answer(const std::string &body);
/// Path and query of the page that follows the key `after`; empty: of the first page.
[[nodiscard]] std::string range_target(const std::string &prefix, const std::string &after,
                                       int limit);

[[nodiscard]] std::optional<kv_item> parse_key_value_item(const std::string &body);
[[nodiscard]] std::uint64_t parse_store_revision(const std::string &body);

/// The events of a watch; an item without value was deleted.
[[nodiscard]] range_answer parse_watch_answer(const std::string &body);
[[nodiscard]] std::string watch_target(const std::string &prefix, std::uint64_t since, int hold_ms);

/// Equal as JSON, whatever the spelling.
[[nodiscard]] bool json_equal(const std::string &left, const std::string &right);

/// The request for a lease of so many milliseconds, and the id that it was given.
[[nodiscard]] std::string encode_lease_request(int ttl_ms);
[[nodiscard]] std::uint64_t parse_lease_id(const std::string &body);

} // namespace spindlecroft::wire
