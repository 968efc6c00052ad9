#include "store/transaction.hpp"
#include "store/keys.hpp"
#include <algorithm>

namespace spindlecroft::store {

std::uint64_t known_revisions::revision_of(const std::string &key) const {
    auto known = revisions_.find(key);
    return known == revisions_.end() ? 0 : known->second;
}

void known_revisions::note_committed(const txn_op &change, std::uint64_t revision) {
    bool written_again = !change.value.empty() && !change.key.starts_with(keys::jobs_prefix);
    if (written_again)
        set(change.key, revision);
    else
        forget(change.key);
}

transaction make_transaction(const write_batch &batch, const known_revisions &revisions,
                             std::optional<txn_condition> fence) {
    transaction made;
    std::map<std::string, std::uint64_t> expected; // revision by key
    for (auto &unit : batch) {
        for (auto &condition : unit.conditions)
            expected[condition.key] = condition.revision;
        for (auto &change : unit.ops) {
            if (unit.owns_keys)
                expected.try_emplace(change.key, revisions.revision_of(change.key));
            made.ops.push_back(change);
        }
        made.priority = std::min(made.priority, unit.priority);
    }
    made.conditions.reserve(expected.size() + 1);
    for (auto &[key, revision] : expected)
        made.conditions.push_back({key, revision});
    if (fence)
        made.conditions.push_back(*fence);
    made.fence = std::move(fence);
    made.units_kept_after_refusal = (batch.size() + 1) / 2;
    return made;
}

} // namespace spindlecroft::store
