// Builds compare-and-swap transactions from write units and the known revisions of their keys,
// without input or output.
#pragma once
#include "store/batch.hpp"
#include "store/write_unit.hpp"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace spindlecroft::store {

// The last known revisions of the keys that only this controller writes.
class known_revisions {
  public:
    void set(const std::string &key, std::uint64_t revision) { revisions_[key] = revision; }
    void forget(const std::string &key) { revisions_.erase(key); }
    // Returns 0 if the key isn't known to exist.
    [[nodiscard]] std::uint64_t revision_of(const std::string &key) const;
    // Updates the key's revision after a commit. The revision is kept only if the key can be
    // written again: it was not deleted and isn't a job record.
    void note_committed(const txn_op &change, std::uint64_t revision);

  private:
    std::map<std::string, std::uint64_t> revisions_;
};

// A transaction that is ready to be sent.
struct transaction {
    std::vector<txn_condition> conditions;
    std::vector<txn_op> ops;
    std::optional<txn_condition> fence; // also among the conditions
    request_priority priority = request_priority::background;
    bool outcome_unknown = false;             // a copy may have been executed, or may still be
    std::size_t units_kept_after_refusal = 0; // units that stay when the batch is split
};

// Returns the transaction that writes all units of the batch atomically. The revisions of all owned
// keys are among its conditions, so that a delayed copy can't undo a later transaction.
[[nodiscard]] transaction make_transaction(const write_batch &batch,
                                           const known_revisions &revisions,
                                           std::optional<txn_condition> fence);

} // namespace spindlecroft::store
