#include "store/committer.hpp"
#include "constants.hpp"
#include "store/keys.hpp"
#include <algorithm>
#include <iterator>
#include <utility>

namespace spindlecroft::store {

namespace c = constants;
using net::awaitable;

std::vector<std::size_t> choose_units(const std::deque<unit> &waiting, int max_ops,
                                      std::size_t max_bytes) {
    std::vector<std::size_t> order(waiting.size());
    for (std::size_t i = 0; i < order.size(); ++i)
        order[i] = i;
    std::stable_sort(order.begin(), order.end(),
                     [&](auto a, auto b) { return waiting[a].priority < waiting[b].priority; });
    std::vector<std::size_t> chosen;
    std::set<std::string> keys;
    int ops = 0;
    std::size_t bytes = 0, conditions = 1; // one for the fence
    // Four times as many conditions as changes may go into one transaction.
    auto most_conditions = 4 * static_cast<std::size_t>(max_ops);
    for (auto i : order) {
        auto &u = waiting[i];
        // What nobody waits for does not make a transaction larger that somebody waits for.
        if (u.priority == request_priority::background && !chosen.empty() &&
            waiting[order.front()].priority != request_priority::background)
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

committer::committer(net::asio::io_context &io, key_value_client &state,
                     const settings::settings &s, std::string name)
    : state_(state), settings_(s), name_(std::move(name)), wake_(io) {}

bool committer::full() const {
    return waiting_.size() >= c::commit_queue;
}

void committer::submit(unit u) {
    if (stopping_ || known_too_large(u)) {
        if (u.result)
            u.result(stopping_ ? unit_outcome::lost : unit_outcome::too_large, 0);
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
    if (o.value.empty() || o.key.starts_with(keys::jobs_prefix))
        versions_.erase(o.key);
    else
        versions_[o.key] = revision;
}

// Guards against submissions that fail for minutes after an outage: users repeat each request every
// second, and what they have given up on would all be sent first, a few changes a second.
void committer::drop_given_up(auto &units, time_point now) {
    std::erase_if(units, [&](unit &u) {
        if (!u.give_up_at || now < *u.give_up_at)
            return false;
        if (u.result)
            u.result(unit_outcome::lost, 0);
        return true;
    });
}

awaitable<void> committer::run() {
    while (!stopping_) {
        drop_given_up(waiting_, net::steady_now());
        if (waiting_.empty()) {
            co_await wake_.wait_for(seconds{1});
            continue;
        }
        co_await net::sleep_for(c::commit_gap);
        auto chosen = choose_units(waiting_, settings_.txn_ops, c::txn_bytes);
        std::vector<unit> batch;
        for (auto i = chosen.rbegin(); i != chosen.rend(); ++i) {
            batch.push_back(std::move(waiting_[*i]));
            waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(*i));
        }
        std::reverse(batch.begin(), batch.end());
        co_await send(std::move(batch));
    }
    std::vector<unit> left(std::make_move_iterator(waiting_.begin()),
                           std::make_move_iterator(waiting_.end()));
    waiting_.clear();
    tell(left, unit_outcome::lost);
}

bool committer::permitted() const {
    return !stopping_ && (!fence || fence());
}

void committer::tell(std::vector<unit> &batch, unit_outcome how, std::uint64_t revision) {
    for (auto &u : std::exchange(batch, {}))
        if (u.result)
            u.result(how, revision);
}

std::optional<committer::transaction>
committer::make_transaction(const std::vector<unit> &batch) const {
    transaction t;
    if (fence) {
        t.fence = fence();
        if (!t.fence || stopping_)
            return std::nullopt;
    }
    // With every written key's version among the conditions, a copy of this transaction that
    // arrives late can't undo a later one.
    std::map<std::string, std::uint64_t> versions;
    for (auto &u : batch) {
        for (auto &w : u.when)
            versions[w.key] = w.version;
        for (auto &o : u.ops) {
            if (u.owned && !versions.count(o.key)) {
                auto known = versions_.find(o.key);
                versions[o.key] = known == versions_.end() ? 0 : known->second;
            }
            t.ops.push_back(o);
        }
        t.priority = std::min(t.priority, u.priority);
    }
    t.conditions.reserve(versions.size() + 1);
    for (auto &[key, version] : versions)
        t.conditions.push_back({key, version});
    if (t.fence)
        t.conditions.push_back(*t.fence);
    t.kept_after_refusal = (batch.size() + 1) / 2;
    return t;
}

awaitable<void> committer::send(std::vector<unit> batch) {
    while (!batch.empty()) {
        auto t = make_transaction(batch);
        if (!t) {
            tell(batch, unit_outcome::lost);
            co_return;
        }
        while (co_await send_once(*t, batch) == next_step::same_again) {
        }
    }
}

awaitable<committer::next_step> committer::send_once(transaction &t, std::vector<unit> &batch) {
    net::permission may_send = [this] { return permitted(); };
    auto answer = co_await state_.commit(t.conditions, t.ops, t.priority, std::move(may_send));
    switch (answer.outcome) {
    case transaction_outcome::committed:
        on_committed(batch, answer.revision);
        co_return next_step::settled;
    case transaction_outcome::unknown:
        t.unsure = true;
        co_await net::sleep_for(c::state_retry);
        // The same again: its conditions hold at most once.
        co_return again_if_permitted(batch);
    case transaction_outcome::refused:
        co_await net::sleep_for(c::state_retry);
        co_return on_refused(t, batch);
    case transaction_outcome::rejected:
        co_return co_await on_too_large(t, answer.error, batch);
    case transaction_outcome::conflict:
        break;
    }
    std::set<std::string> failed(answer.failed.begin(), answer.failed.end());
    co_return co_await on_conflict(t, failed, batch);
}

committer::next_step committer::again_if_permitted(std::vector<unit> &batch) {
    if (permitted())
        return next_step::same_again;
    tell(batch, unit_outcome::lost);
    return next_step::settled;
}

void committer::on_committed(std::vector<unit> &batch, std::uint64_t revision) {
    for (auto &u : batch)
        if (u.owned)
            for (auto &o : u.ops)
                note(o, revision);
    tell(batch, unit_outcome::committed, revision);
}

// Guards against a large transaction that the service never has room for while small ones of other
// nodes use up what it allows. One that may have been executed stays as it is: the same again is
// applied at most once.
committer::next_step committer::on_refused(const transaction &t, std::vector<unit> &batch) {
    if (t.unsure || !permitted())
        return again_if_permitted(batch);
    drop_given_up(batch, net::steady_now());
    std::stable_sort(batch.begin(), batch.end(),
                     [](auto &a, auto &b) { return a.priority < b.priority; });
    while (batch.size() > t.kept_after_refusal) {
        waiting_.push_front(std::move(batch.back()));
        batch.pop_back();
    }
    return next_step::settled;
}

// Guards against a change that is sent and refused for ever once the service takes smaller values
// or transactions: it is split, and what can't be is refused here from then on.
awaitable<committer::next_step>
committer::on_too_large(const transaction &t, const std::string &error, std::vector<unit> &batch) {
    if (t.unsure) {
        auto own = co_await find_own_copy(t);
        if (!own) {
            tell(batch, unit_outcome::lost);
            co_return next_step::settled;
        }
        if (own->applied) {
            on_committed(batch, own->revision);
            co_return next_step::settled;
        }
    }
    if (batch.size() > 1) {
        while (batch.size() > t.kept_after_refusal) {
            waiting_.push_front(std::move(batch.back()));
            batch.pop_back();
        }
        co_return next_step::settled;
    }
    for (auto &o : batch.front().ops) {
        if (o.value.empty())
            continue;
        spdlog::error("{}: {} with {} bytes is refused: {}", name_, o.key, o.value.size(), error);
        too_large_[o.key] = o.value.size();
    }
    tell(batch, unit_outcome::too_large);
    co_return next_step::settled;
}

bool committer::known_too_large(const unit &u) const {
    return std::any_of(u.ops.begin(), u.ops.end(), [&](const txn_op &o) {
        auto i = too_large_.find(o.key);
        return i != too_large_.end() && o.value.size() >= i->second;
    });
}

awaitable<committer::next_step> committer::on_conflict(const transaction &t,
                                                       const std::set<std::string> &failed,
                                                       std::vector<unit> &batch) {
    if (t.unsure) {
        auto own = co_await find_own_copy(t);
        if (!own) {
            tell(batch, unit_outcome::lost);
            co_return next_step::settled;
        }
        if (own->applied) {
            on_committed(batch, own->revision);
            co_return next_step::settled;
        }
    }
    if (t.fence && failed.count(t.fence->key))
        co_return co_await on_fence_failed(t, batch);
    co_await drop_conflicting(t.priority, failed, batch);
    co_return next_step::settled;
}

// After an unknown outcome it may have been our own copy that moved the keys. All or nothing was
// applied, so one written value tells.
awaitable<std::optional<committer::own_copy>> committer::find_own_copy(const transaction &t) {
    auto written =
        std::find_if(t.ops.begin(), t.ops.end(), [](auto &o) { return !o.value.empty(); });
    if (written == t.ops.end())
        co_return own_copy{true, 0}; // deletions of keys that nobody else writes
    for (;;) {
        auto i = co_await state_.get(written->key, t.priority);
        if (i) {
            bool applied = i->found && wire::same_json(i->item.value, written->value);
            co_return own_copy{applied, applied ? i->item.version : 0};
        }
        if (!permitted())
            co_return std::nullopt;
        co_await net::sleep_for(c::state_retry);
    }
}

// The token was raised meanwhile, or we lead no more: whoever holds the fence finds out which, or
// this would be tried for ever.
awaitable<committer::next_step> committer::on_fence_failed(const transaction &t,
                                                           std::vector<unit> &batch) {
    if (fence_failed)
        fence_failed();
    co_await net::sleep_for(c::state_retry);
    auto now = fence();
    if (!now) {
        tell(batch, unit_outcome::lost);
        co_return next_step::settled;
    }
    co_return now->version != t.fence->version ? next_step::settled : next_step::same_again;
}

// Units whose conditions failed are told; the rest is tried again without them.
awaitable<void> committer::drop_conflicting(request_priority priority,
                                            const std::set<std::string> &failed,
                                            std::vector<unit> &batch) {
    std::vector<unit> rest, hit;
    for (auto &u : std::exchange(batch, {})) {
        bool clash = std::any_of(u.when.begin(), u.when.end(),
                                 [&](auto &w) { return failed.count(w.key) > 0; });
        for (auto &o : u.ops)
            clash = clash || (u.owned && failed.count(o.key) > 0);
        (clash ? hit : rest).push_back(std::move(u));
    }
    if (hit.empty()) {
        tell(rest, unit_outcome::conflict);
        co_return;
    }
    for (auto &u : hit)
        for (auto &o : u.ops)
            if (u.owned && failed.count(o.key))
                co_await read_version(o.key, priority);
    tell(hit, unit_outcome::conflict);
    batch = std::move(rest);
}

// Our idea of an owned key's version was wrong: it is read for the next try.
awaitable<void> committer::read_version(const std::string &key, request_priority priority) {
    auto i = co_await state_.get(key, priority);
    if (i && i->found)
        versions_[key] = i->item.version;
    else if (i)
        versions_.erase(key);
}

} // namespace spindlecroft::store
