// A key-value store in memory, by PROTOCOL, in place of the client: it can leave a transaction
// without an answer and carry it out at once, later or never, refuse, or stand still.
#pragma once
#include "store/key_value_client.hpp"
#include "test_time.hpp"
#include <deque>
#include <functional>
#include <map>

namespace spindlecroft::test {

class state_stand_in : public store::key_value_client {
  public:
    state_stand_in(net::asio::io_context &io, const settings::settings &s)
        : key_value_client(io, s), io_(io) {}

    enum class fate {
        answered,
        unanswered, // carried out, but no answer comes
        held,       // no answer; carried out by release_held()
        lost,       // no answer, never carried out
        refused,    // 503
    };
    std::deque<fate> next_commits; // of the transactions to come; then all are answered
    bool outage = false;
    std::size_t most_value_bytes = std::size_t{64} * 1024,
                most_ops = 64;                     // of a transaction; beyond: 400
    std::vector<std::string> refused_as_too_large; // keys, one for each transaction
    // Called between the decision to send a transaction and its sending.
    std::function<void()> stand_still;
    std::size_t commits = 0;

    struct stored {
        std::string value;
        std::uint64_t version = 0, lease = 0;
    };
    std::map<std::string, stored> keys;
    std::map<std::uint64_t, bool> leases; // live
    std::uint64_t revision = 10, lease_count = 0;

    // Transactions without an answer that come through now.
    void release_held() {
        auto list = std::move(held_);
        held_.clear();
        for (auto &f : list)
            f();
    }

    net::awaitable<store::transaction_result> commit(std::vector<txn_condition> when,
                                                     std::vector<txn_op> ops,
                                                     store::request_priority,
                                                     net::permission permitted) override {
        co_await net::sleep_for(1ms);
        if (stand_still)
            stand_still();
        if (permitted && !permitted())
            co_return store::transaction_result{store::transaction_outcome::refused, 0, {}, ""};
        ++commits;
        auto how = fate::answered;
        if (!next_commits.empty()) {
            how = next_commits.front();
            next_commits.pop_front();
        }
        store::transaction_result t;
        if (outage || how == fate::refused) {
            t.outcome = store::transaction_outcome::refused;
            co_return t;
        }
        if (how == fate::held || how == fate::lost) {
            if (how == fate::held)
                held_.emplace_back([this, when, ops] { apply(when, ops); });
            t.outcome = store::transaction_outcome::unknown;
            co_return t;
        }
        t = apply(when, ops);
        if (how == fate::unanswered)
            t = {store::transaction_outcome::unknown, 0, {}, ""};
        co_return t;
    }

    net::awaitable<std::optional<store::key_lookup>> get(std::string key,
                                                         store::request_priority) override {
        co_await net::sleep_for(1ms);
        if (outage)
            co_return std::nullopt;
        store::key_lookup i;
        if (auto k = keys.find(key); k != keys.end()) {
            i.found = true;
            i.item = {key, k->second.value, k->second.version, k->second.lease};
        } else {
            i.revision = revision;
        }
        co_return i;
    }

    net::awaitable<std::optional<wire::range_answer>> list(std::string prefix,
                                                           store::request_priority) override {
        co_await net::sleep_for(1ms);
        if (outage)
            co_return std::nullopt;
        wire::range_answer a;
        a.revision = revision;
        for (auto &[key, k] : keys)
            if (key.starts_with(prefix))
                a.items.push_back({key, k.value, k.version, k.lease});
        co_return a;
    }

    net::awaitable<store::watch_result> watch(std::string, std::uint64_t since, int,
                                              store::request_priority) override {
        co_await net::sleep_for(20ms);
        if (outage)
            co_return store::watch_result{};
        store::watch_result a;
        a.outcome = store::watch_outcome::changes;
        a.changes.revision = since;
        co_return a;
    }

    net::awaitable<std::optional<std::uint64_t>> create_lease(seconds) override {
        co_await net::sleep_for(1ms);
        if (outage)
            co_return std::nullopt;
        leases[++lease_count] = true;
        co_return lease_count;
    }

    net::awaitable<store::lease_renewal> renew_lease(std::uint64_t lease) override {
        co_await net::sleep_for(1ms);
        if (outage)
            co_return store::lease_renewal::unknown;
        co_return leases[lease] ? store::lease_renewal::renewed : store::lease_renewal::ended;
    }

    net::awaitable<void> revoke_lease(std::uint64_t lease) override {
        co_await net::sleep_for(1ms);
        expire(lease);
    }

    void expire(std::uint64_t lease) {
        leases[lease] = false;
        std::erase_if(keys, [&](auto &k) { return k.second.lease == lease && lease != 0; });
    }

    store::transaction_result apply(const std::vector<txn_condition> &when,
                                    const std::vector<txn_op> &ops) {
        store::transaction_result t;
        for (auto &c : when) {
            auto k = keys.find(c.key);
            if ((k == keys.end() ? 0 : k->second.version) != c.revision)
                t.failed.push_back(c.key);
        }
        if (!t.failed.empty()) {
            t.outcome = store::transaction_outcome::conflict;
            t.revision = revision;
            return t;
        }
        for (auto &o : ops)
            if (o.lease && !leases[o.lease]) {
                t.outcome = store::transaction_outcome::rejected;
                t.error = "no such lease";
                return t;
            }
        bool fits = ops.size() <= most_ops;
        for (auto &o : ops)
            fits = fits && o.value.size() <= most_value_bytes;
        if (!fits) {
            refused_as_too_large.push_back(ops.front().key);
            t.outcome = store::transaction_outcome::rejected;
            t.error = "too large";
            return t;
        }
        t.outcome = store::transaction_outcome::committed;
        t.revision = ++revision;
        for (auto &o : ops)
            if (o.value.empty())
                keys.erase(o.key);
            else
                keys[o.key] = {o.value, revision, o.lease};
        return t;
    }

  private:
    net::asio::io_context &io_;
    std::deque<std::function<void()>> held_;
};

} // namespace spindlecroft::test
