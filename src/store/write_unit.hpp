// A change for the key-value store that is made whole or not at all.
#pragma once
#include "common/time.hpp"
#include "store/request_priority.hpp"
#include "wire/types.hpp"
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace spindlecroft::store {

enum class write_outcome {
    committed,
    conflict,    // one of its conditions, or the revision of an owned key, did not hold
    unconfirmed, // not known to be written: given up, not permitted any more, or stopped
    too_large,   // for the key-value store, however it is split
};

// Units that are written close together share a transaction.
struct write_unit {
    std::vector<txn_condition> conditions; // on keys that others write too
    std::vector<txn_op> ops;
    request_priority priority = request_priority::background;
    // Nobody else writes the keys that have no condition here: the committer knows their revisions
    // and makes them conditions of the transaction.
    bool owns_keys = false;
    std::optional<time_point> deadline; // not sent any more from then on
    // Called once with what became of the unit; the revision is that of the commit, or 0.
    std::function<void(write_outcome, std::uint64_t revision)> on_outcome;
    // Called once the unit is durable, before whoever waits for it is told.
    std::function<void(std::uint64_t revision)> on_durable;
};

} // namespace spindlecroft::store
