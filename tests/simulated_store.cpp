// The key-value store of the randomized simulation and the durable writes of its leader.
#include "randomized_simulation.hpp"
#include <algorithm>

namespace spindlecroft::test {

bool simulation::apply(const transaction &txn) {
    if (txn.fence != leader_token)
        return false;
    for (auto &condition : txn.write.conditions) {
        auto found = jobs.find(condition.key.substr(4));
        if (found == jobs.end() || found->second.version != condition.revision)
            return false;
    }
    for (auto &[key, version] : txn.expected_versions) {
        auto stored = kv.find(key);
        if ((stored == kv.end() ? 0 : stored->second.second) != version)
            return false;
    }
    ++revision;
    apply_operations(txn.write);
    return true;
}

void simulation::apply_write(const std::shared_ptr<control::scheduler> &leader,
                             const control::durable_write &write) {
    if (leader != scheduler)
        return;
    if (now < outage_until || now < leader_refused_until) {
        schedule(now + seconds{0.25}, [this, leader, write] { apply_write(leader, write); });
        return;
    }
    transaction txn{write, {}, leader_token};
    for (auto &operation : write.ops)
        if (operation.key[0] != 'j')
            txn.expected_versions[operation.key] =
                versions.count(operation.key) ? versions[operation.key] : 0;
    // Without an answer the transaction is sent again until one arrives. The store may execute each
    // copy at any time, also after newer transactions.
    if (chance(0.05)) {
        ++delayed_writes;
        schedule(now + random_duration(0.5, 40), [this, txn] { apply(txn); });
        if (chance(0.5)) {
            schedule(now + seconds{1.75}, [this, leader, txn] { complete_write(leader, txn); });
            return;
        }
    }
    complete_write(leader, txn);
}

void simulation::complete_write(const std::shared_ptr<control::scheduler> &leader,
                                const transaction &txn) {
    if (leader != scheduler)
        return;
    if (now < outage_until || now < leader_refused_until) {
        schedule(now + seconds{0.25}, [this, leader, txn] { complete_write(leader, txn); });
        return;
    }
    auto retry = txn;
    retry.fence = leader_token; // the fencing token may have been raised since the first attempt
    bool is_applied = apply(retry) || was_applied(txn.write);
    if (is_applied)
        for (auto &operation : txn.write.ops)
            if (operation.key[0] != 'j') {
                if (operation.value.empty())
                    versions.erase(operation.key);
                else
                    versions[operation.key] = kv.at(operation.key).second;
            }
    if (!chance(0.02) || is_applied)
        leader->on_write_completed(txn.write, is_applied, now);
    else
        schedule(now + 1s, [this, leader, write = txn.write] {
            if (leader == scheduler)
                leader->on_write_completed(write, false, now);
        });
}

bool simulation::was_applied(const control::durable_write &write) {
    for (auto &operation : write.ops) {
        if (operation.value.empty())
            continue;
        if (operation.key.rfind("j/e/", 0) == 0)
            return ended.count(operation.key.substr(4)) > 0;
        auto stored = kv.find(operation.key);
        return stored != kv.end() && stored->second.first == operation.value;
    }
    return std::all_of(write.ops.begin(), write.ops.end(), [&](auto &operation) {
        return operation.key[0] != 'j' && !kv.count(operation.key);
    });
}

void simulation::apply_operations(const control::durable_write &write) {
    for (auto &operation : write.ops) {
        if (operation.key.rfind("j/a/", 0) == 0) {
            jobs.erase(operation.key.substr(4));
        } else if (operation.key.rfind("j/e/", 0) == 0) {
            record_end(operation.key.substr(4), wire::parse_ended_record(operation.value).state);
        } else if (operation.value.empty()) {
            kv.erase(operation.key);
        } else {
            kv[operation.key] = {operation.value, revision};
        }
    }
}

void simulation::record_end(const std::string &id, job_state state) {
    ended[id] = state;
    if ((state == job_state::cancelled) != (cancel_confirmed.count(id) > 0))
        report_violation("recorded end contradicts the confirmed cancels: " + id);
    if (state != job_state::done)
        return;
    for (std::uint32_t index = 0; index < submitted.at(id).tasks; ++index)
        if (!completed[{id, index}])
            report_violation("job recorded as done with an incomplete task: " + id);
}

} // namespace spindlecroft::test
