// The units of a transaction: which of those that wait share it, and which are left when the store
// refuses it. Pure but for the callbacks of the units.
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

// Chooses which waiting units share the next transaction: their places in the queue, ascending. The
// more urgent go first. At least one is chosen if any waits, also when it exceeds the limits alone.
[[nodiscard]] std::vector<std::size_t> choose_units(const std::deque<write_unit> &waiting,
                                                    int max_ops, std::size_t max_bytes);

// Takes the chosen units out of the queue, in its order.
[[nodiscard]] write_batch take_units(std::deque<write_unit> &waiting,
                                     const std::vector<std::size_t> &chosen);

// Gives the unit its outcome.
void finish(const write_unit &unit, write_outcome outcome, std::uint64_t revision = 0);
// Gives every unit of the batch its outcome and empties it.
void finish(write_batch &batch, write_outcome outcome, std::uint64_t revision = 0);

// Ends the units that were given up by now as lost. Guards against submissions that fail for
// minutes after an outage: users repeat each request every second, and what they have given up on
// would all be sent first, a few changes a second.
template <class Units>
void drop_expired(Units &units, time_point now) {
    std::erase_if(units, [&](const write_unit &unit) {
        if (!unit.deadline || now < *unit.deadline)
            return false;
        finish(unit, write_outcome::unconfirmed);
        return true;
    });
}

// Sorts the batch by priority, the most urgent first; equal ones keep their order.
void sort_by_priority(write_batch &batch);

// Puts all but the first `kept` units back at the head of the queue, in their order.
void requeue_after(std::size_t kept, write_batch &batch, std::deque<write_unit> &waiting);

// Takes the units out of the batch that depend on one of the keys whose conditions failed.
[[nodiscard]] write_batch take_conflicting(const std::set<std::string> &failed_keys,
                                           write_batch &batch);

} // namespace spindlecroft::store
