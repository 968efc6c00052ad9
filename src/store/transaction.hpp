// A compare-and-swap transaction, made from units and from what is known of the keys they write.
// Pure.
#pragma once
#include "store/batch.hpp"
#include "store/write_unit.hpp"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace spindlecroft::store {

// The revisions of the keys that nobody else writes.
class known_revisions {
  public:
    void set(const std::string &key, std::uint64_t revision) { revisions_[key] = revision; }
    void forget(const std::string &key) { revisions_.erase(key); }
    // 0: the key is not known to exist.
    [[nodiscard]] std::uint64_t revision_of(const std::string &key) const;
    // The change was committed. Only keys that are written again need their revision kept.
    void note_committed(const txn_op &change, std::uint64_t revision);

  private:
    std::map<std::string, std::uint64_t> revisions_;
};

struct transaction {
    std::vector<txn_condition> conditions;
    std::vector<txn_op> ops;
    std::optional<txn_condition> fence; // also among the conditions
    request_priority priority = request_priority::background;
    bool outcome_unknown = false;             // a copy of it may have been, or may yet be, executed
    std::size_t units_kept_after_refusal = 0; // units, when it has to be split
};

// The transaction that writes all units of the batch, or nothing. With every written key's revision
// among the conditions, a copy of it that arrives late can't undo a later one.
[[nodiscard]] transaction make_transaction(const write_batch &batch,
                                           const known_revisions &revisions,
                                           std::optional<txn_condition> fence);

} // namespace spindlecroft::store
