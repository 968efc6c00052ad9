// Group commit without input or output: selects the queued units that share a transaction, and
// splits a batch that the store refused. The only side effects are the callbacks of the units.
#pragma once
#include "store/write_unit.hpp"
#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <vector>

namespace spindlecroft::store {

// The units of one transaction that have no outcome yet.
using write_batch = std::vector<write_unit>;

// Returns the queue positions, ascending, of the units that share the next transaction. More urgent
// units are selected first. If the queue isn't empty, at least one unit is selected, even when it
// exceeds the limits by itself.
[[nodiscard]] std::vector<std::size_t> choose_units(const std::deque<write_unit> &waiting,
                                                    int max_ops, std::size_t max_bytes);

// Removes the units at these positions from the queue and returns them in queue order.
[[nodiscard]] write_batch take_units(std::deque<write_unit> &waiting,
                                     const std::vector<std::size_t> &chosen);

// Reports the outcome to the unit's callback.
void finish(const write_unit &unit, write_outcome outcome, std::uint64_t revision = 0);
// Reports the outcome to every unit of the batch and empties the batch.
void finish(write_batch &batch, write_outcome outcome, std::uint64_t revision = 0);

// Finishes the units whose deadline has passed as unconfirmed. Without this, submissions fail for
// minutes after an outage: users retry each request every second, and all the expired requests
// would be sent first, at a few operations per second.
template <class Units>
void drop_expired(Units &units, time_point now) {
    std::erase_if(units, [&](const write_unit &unit) {
        if (!unit.deadline || now < *unit.deadline)
            return false;
        finish(unit, write_outcome::unconfirmed);
        return true;
    });
}

// Sorts the batch by priority, the most urgent first. The sort is stable.
void sort_by_priority(write_batch &batch);

// Moves all but the first `kept` units back to the front of the queue, in their order.
void requeue_after(std::size_t kept, write_batch &batch, std::deque<write_unit> &waiting);

// Removes from the batch, and returns, the units that depend on a key whose condition failed.
[[nodiscard]] write_batch take_conflicting(const std::set<std::string> &failed_keys,
                                           write_batch &batch);

} // namespace spindlecroft::store
