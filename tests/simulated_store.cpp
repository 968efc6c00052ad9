// The key-value store of the randomized simulation, and the writes of its leader.
#include "randomized_simulation.hpp"
#include <algorithm>

namespace spindlecroft::test {

bool simulation::apply(const transaction &t) {
    if (t.fence != leader_token)
        return false;
    for (auto &c : t.write.conditions) {
        auto j = jobs.find(c.key.substr(4));
        if (j == jobs.end() || j->second.version != c.revision)
            return false;
    }
    for (auto &[key, version] : t.owned) {
        auto k = kv.find(key);
        if ((k == kv.end() ? 0 : k->second.second) != version)
            return false;
    }
    ++revision;
    carry_out(t.write);
    return true;
}

void simulation::apply_write(const std::shared_ptr<control::scheduler> &leader,
                             const control::durable_write &w) {
    if (leader != scheduler)
        return;
    if (now < outage_until || now < leader_refused_until) {
        at(now + seconds{0.25}, [this, leader, w] { apply_write(leader, w); });
        return;
    }
    transaction t{w, {}, leader_token};
    for (auto &o : w.ops)
        if (o.key[0] != 'j')
            t.owned[o.key] = versions.count(o.key) ? versions[o.key] : 0;
    // No answer: the same is sent again until one comes, and each copy may be carried out at
    // any time, also after newer transactions.
    if (chance(0.05)) {
        ++late_writes;
        at(now + between(0.5, 40), [this, t] { apply(t); });
        if (chance(0.5)) {
            at(now + seconds{1.75}, [this, leader, t] { settle(leader, t); });
            return;
        }
    }
    settle(leader, t);
}

void simulation::settle(const std::shared_ptr<control::scheduler> &leader, const transaction &t) {
    if (leader != scheduler)
        return;
    if (now < outage_until || now < leader_refused_until) {
        at(now + seconds{0.25}, [this, leader, t] { settle(leader, t); });
        return;
    }
    auto again = t;
    again.fence = leader_token; // raised meanwhile: the fence is taken anew
    bool ok = apply(again) || was_applied(t.write);
    if (ok)
        for (auto &o : t.write.ops)
            if (o.key[0] != 'j') {
                if (o.value.empty())
                    versions.erase(o.key);
                else
                    versions[o.key] = kv.at(o.key).second;
            }
    if (!chance(0.02) || ok)
        leader->on_write_completed(t.write, ok, now);
    else
        at(now + 1s, [this, leader, w = t.write] {
            if (leader == scheduler)
                leader->on_write_completed(w, false, now);
        });
}

bool simulation::was_applied(const control::durable_write &w) {
    for (auto &o : w.ops) {
        if (o.value.empty())
            continue;
        if (o.key.rfind("j/e/", 0) == 0)
            return ended.count(o.key.substr(4)) > 0;
        auto k = kv.find(o.key);
        return k != kv.end() && k->second.first == o.value;
    }
    return std::all_of(w.ops.begin(), w.ops.end(),
                       [&](auto &o) { return o.key[0] != 'j' && !kv.count(o.key); });
}

void simulation::carry_out(const control::durable_write &w) {
    for (auto &o : w.ops) {
        if (o.key.rfind("j/a/", 0) == 0) {
            jobs.erase(o.key.substr(4));
        } else if (o.key.rfind("j/e/", 0) == 0) {
            record_end(o.key.substr(4), wire::parse_ended_record(o.value).state);
        } else if (o.value.empty()) {
            kv.erase(o.key);
        } else {
            kv[o.key] = {o.value, revision};
        }
    }
}

void simulation::record_end(const std::string &id, job_state state) {
    ended[id] = state;
    if ((state == job_state::cancelled) != (cancel_confirmed.count(id) > 0))
        report_violation("went_back: " + id);
    if (state != job_state::done)
        return;
    for (std::uint32_t index = 0; index < submitted.at(id).tasks; ++index)
        if (!completed[{id, index}])
            report_violation("not_done: " + id);
}

} // namespace spindlecroft::test
