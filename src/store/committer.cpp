#include "store/committer.hpp"
#include "constants.hpp"
#include <algorithm>
#include <set>

namespace spindlecroft::store {

namespace c = constants;
using net::awaitable;

std::vector<std::size_t> choose_units(const std::deque<unit> &waiting, int max_ops,
                                      std::size_t max_bytes) {
    std::vector<std::size_t> order(waiting.size());
    for (std::size_t i = 0; i < order.size(); ++i)
        order[i] = i;
    std::stable_sort(order.begin(), order.end(),
                     [&](auto a, auto b) { return waiting[a].rank < waiting[b].rank; });
    std::vector<std::size_t> chosen;
    std::set<std::string> keys;
    int ops = 0;
    std::size_t bytes = 0, conditions = 1; // one for the fence
    // Four times as many conditions as changes may go into one transaction.
    auto most_conditions = 4 * static_cast<std::size_t>(max_ops);
    for (auto i : order) {
        auto &u = waiting[i];
        // What nobody waits for does not make a transaction larger that somebody waits for.
        if (u.rank == urgency::rest && !chosen.empty() &&
            waiting[order.front()].rank != urgency::rest)
            break;
        std::size_t size = 0;
        for (auto &o : u.ops)
            size += o.key.size() + o.value.size() + 64;
        int n = static_cast<int>(u.ops.size());
        if (!chosen.empty() && (ops + n > max_ops || bytes + size > max_bytes ||
                                conditions + u.when.size() + u.ops.size() > most_conditions))
            continue;
        // A key that one unit of the transaction writes is not touched by another.
        bool clash = false;
        for (auto &o : u.ops)
            clash = clash || keys.count(o.key);
        for (auto &w : u.when)
            clash = clash || keys.count(w.key);
        if (clash)
            continue;
        for (auto &o : u.ops)
            keys.insert(o.key);
        chosen.push_back(i);
        ops += n;
        bytes += size;
        conditions += u.when.size() + u.ops.size();
        if (ops >= max_ops)
            break;
    }
    std::sort(chosen.begin(), chosen.end());
    return chosen;
}

committer::committer(net::asio::io_context &io, state_client &state, const settings::settings &s,
                     std::string name)
    : state_(state), settings_(s), name_(std::move(name)), wake_(io) {}

bool committer::full() const {
    return waiting_.size() >= c::commit_queue;
}

void committer::submit(unit u) {
    if (stopping_) {
        if (u.result)
            u.result(unit_outcome::lost, 0);
        return;
    }
    waiting_.push_back(std::move(u));
    wake_.notify();
}

void committer::stop() {
    stopping_ = true;
    wake_.notify();
}

void committer::set_version(const std::string &key, std::uint64_t version) {
    versions_[key] = version;
}

// Only keys that are written again need their version kept.
void committer::note(const txn_op &o, std::uint64_t revision) {
    if (o.value.empty() || o.key.starts_with("j/"))
        versions_.erase(o.key);
    else
        versions_[o.key] = revision;
}

// Guards against submissions that fail for minutes after an outage: users repeat each request every
// second, and what they have given up on would all be sent first, a few changes a second.
void committer::drop_given_up(auto &units, double now) {
    std::erase_if(units, [&](unit &u) {
        if (u.give_up_at <= 0 || now < u.give_up_at)
            return false;
        if (u.result)
            u.result(unit_outcome::lost, 0);
        return true;
    });
}

awaitable<void> committer::run() {
    while (!stopping_) {
        drop_given_up(waiting_, net::now_s());
        if (waiting_.empty()) {
            co_await wake_.wait_for(1.0);
            continue;
        }
        co_await net::sleep_s(c::commit_gap_s);
        auto chosen = choose_units(waiting_, settings_.txn_ops, c::txn_bytes);
        std::vector<unit> batch;
        for (auto i = chosen.rbegin(); i != chosen.rend(); ++i) {
            batch.push_back(std::move(waiting_[*i]));
            waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(*i));
        }
        std::reverse(batch.begin(), batch.end());
        co_await send(std::move(batch));
    }
    for (auto &u : waiting_)
        if (u.result)
            u.result(unit_outcome::lost, 0);
    waiting_.clear();
}

bool committer::permitted() const {
    return !stopping_ && (!fence || fence());
}

awaitable<void> committer::send(std::vector<unit> batch) {
    while (!batch.empty()) {
        std::optional<txn_condition> fence_now;
        if (fence) {
            fence_now = fence();
            if (!fence_now || stopping_) {
                for (auto &u : batch)
                    if (u.result)
                        u.result(unit_outcome::lost, 0);
                co_return;
            }
        }
        std::map<std::string, std::uint64_t> when;
        std::vector<txn_op> ops;
        auto rank = urgency::rest;
        for (auto &u : batch) {
            for (auto &w : u.when)
                when[w.key] = w.version;
            for (auto &o : u.ops) {
                if (u.owned && !when.count(o.key)) {
                    auto v = versions_.find(o.key);
                    when[o.key] = v == versions_.end() ? 0 : v->second;
                }
                ops.push_back(o);
            }
            rank = std::min(rank, u.rank);
        }
        // With every written key's version among the conditions, a copy of this transaction that
        // arrives late can't undo a later one.
        std::vector<txn_condition> conditions;
        conditions.reserve(when.size() + 1);
        for (auto &[key, version] : when)
            conditions.push_back({key, version});
        if (fence_now)
            conditions.push_back(*fence_now);
        bool unsure = false;
        auto kept = (batch.size() + 1) / 2; // units that stay after a refusal
        for (;;) {
            net::permission may_send = [this] { return permitted(); };
            auto t = co_await state_.commit(conditions, ops, rank, std::move(may_send));
            if (t.how == txn_outcome::committed) {
                for (auto &u : batch)
                    if (u.owned)
                        for (auto &o : u.ops)
                            note(o, t.revision);
                for (auto &u : batch)
                    if (u.result)
                        u.result(unit_outcome::committed, t.revision);
                co_return;
            }
            if (t.how == txn_outcome::unknown) {
                unsure = true;
                co_await net::sleep_s(c::state_retry_s);
                if (!permitted()) {
                    for (auto &u : batch)
                        if (u.result)
                            u.result(unit_outcome::lost, 0);
                    co_return;
                }
                continue; // the same again: its conditions hold at most once
            }
            if (t.how == txn_outcome::refused) {
                co_await net::sleep_s(c::state_retry_s);
                if (!permitted()) {
                    for (auto &u : batch)
                        if (u.result)
                            u.result(unit_outcome::lost, 0);
                    co_return;
                }
                if (!unsure) {
                    drop_given_up(batch, net::now_s());
                    if (batch.empty())
                        co_return;
                }
                // Guards against a large transaction that the service never has room for while
                // small ones of other nodes use up what it allows. One that may have been executed
                // stays as it is: the same again is applied at most once.
                if (!unsure) {
                    std::stable_sort(batch.begin(), batch.end(),
                                     [](auto &a, auto &b) { return a.rank < b.rank; });
                    while (batch.size() > kept) {
                        waiting_.push_front(std::move(batch.back()));
                        batch.pop_back();
                    }
                    break;
                }
                continue;
            }
            if (t.how == txn_outcome::bad) {
                spdlog::error("{}: a transaction was refused as malformed: {}", name_, t.error);
                for (auto &u : batch)
                    if (u.result)
                        u.result(unit_outcome::conflict, 0);
                co_return;
            }
            // Conflict.
            std::set<std::string> failed(t.failed.begin(), t.failed.end());
            // After an unknown outcome it may have been our own copy that moved the keys. All or
            // nothing was applied, so one written value tells.
            bool applied = false;
            std::uint64_t applied_at = 0;
            if (unsure) {
                auto written =
                    std::find_if(ops.begin(), ops.end(), [](auto &o) { return !o.value.empty(); });
                if (written == ops.end()) {
                    applied = true; // deletions of keys that nobody else writes
                } else {
                    for (;;) {
                        auto i = co_await state_.get(written->key, rank);
                        if (i) {
                            applied = i->found && wire::same_json(i->kv.value, written->value);
                            applied_at = i->found ? i->kv.version : 0;
                            break;
                        }
                        if (!permitted()) {
                            for (auto &u : batch)
                                if (u.result)
                                    u.result(unit_outcome::lost, 0);
                            co_return;
                        }
                        co_await net::sleep_s(c::state_retry_s);
                    }
                }
            }
            if (!applied && fence_now && failed.count(fence_now->key)) {
                // The token was raised meanwhile, or we lead no more: whoever holds the fence finds
                // out which, or this would be tried for ever.
                if (fence_failed)
                    fence_failed();
                co_await net::sleep_s(c::state_retry_s);
                auto again = fence();
                if (again && again->version != fence_now->version)
                    break;
                if (again)
                    continue;
                for (auto &u : batch)
                    if (u.result)
                        u.result(unit_outcome::lost, 0);
                co_return;
            }
            if (applied) {
                for (auto &u : batch) {
                    if (u.owned)
                        for (auto &o : u.ops)
                            note(o, applied_at);
                    if (u.result)
                        u.result(unit_outcome::committed, applied_at);
                }
                co_return;
            }
            // Those whose conditions failed are told; the rest is tried again without them.
            std::vector<unit> rest;
            bool any = false;
            for (auto &u : batch) {
                bool hit = false;
                for (auto &w : u.when)
                    hit = hit || failed.count(w.key);
                for (auto &o : u.ops)
                    hit = hit || (u.owned && failed.count(o.key));
                if (!hit) {
                    rest.push_back(std::move(u));
                    continue;
                }
                any = true;
                // Our idea of an owned key's version was wrong: read it for the next try.
                for (auto &o : u.ops)
                    if (u.owned && failed.count(o.key)) {
                        auto i = co_await state_.get(o.key, rank);
                        if (i && i->found)
                            versions_[o.key] = i->kv.version;
                        else if (i)
                            versions_.erase(o.key);
                    }
                if (u.result)
                    u.result(unit_outcome::conflict, 0);
            }
            if (!any) {
                for (auto &u : rest)
                    if (u.result)
                        u.result(unit_outcome::conflict, 0);
                co_return;
            }
            batch = std::move(rest);
            break;
        }
    }
}

} // namespace spindlecroft::store
