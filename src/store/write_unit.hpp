// A set of writes to the key-value store that is applied atomically.
#pragma once
#include "common/time.hpp"
#include "store/request_priority.hpp"
#include "wire/types.hpp"
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace spindlecroft::store {

// The final outcome of a write unit.
enum class write_outcome {
    committed,
    conflict,    // one of its conditions, or the revision of an owned key, did not hold
    unconfirmed, // not known to be written: deadline passed, not permitted any more, or stopped
    too_large,   // rejected by the key-value store even in a transaction of its own
};

// Units that are submitted close together share a transaction.
struct write_unit {
    std::vector<txn_condition> conditions; // on keys that others write too
    std::vector<txn_op> ops;
    request_priority priority = request_priority::background;
    // Whether nobody else writes the keys that have no condition here: the committer then knows
    // their revisions and adds them to the transaction's conditions.
    bool owns_keys = false;
    std::optional<time_point> deadline; // not sent after this
    // Called once with the outcome; the revision is that of the commit, or 0.
    std::function<void(write_outcome, std::uint64_t revision)> on_outcome;
    // Called once the unit is durable, before the waiting request is answered.
    std::function<void(std::uint64_t revision)> on_durable;
};

} // namespace spindlecroft::store
