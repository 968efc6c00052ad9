// An in-memory key-value store that replaces the client of the real one and follows PROTOCOL. A
// test can make it lose the answer of a transaction and execute the transaction at once, later or
// never, refuse requests, or delay a transaction before it is sent.
#pragma once
#include "store/key_value_client.hpp"
#include "test_time.hpp"
#include <deque>
#include <functional>
#include <map>

namespace spindlecroft::test {

class state_stand_in : public store::key_value_client {
  public:
    state_stand_in(net::asio::io_context &io, const settings::settings &conf)
        : key_value_client(io, conf), io_(io) {}

    enum class fate {
        answered,
        unanswered, // executed, but the answer is lost
        held,       // no answer; executed by release_held()
        lost,       // no answer, never executed
        refused,    // 503
    };
    std::deque<fate> next_commits; // of the next transactions, in order; later ones are answered
    bool outage = false;
    std::size_t most_value_bytes = std::size_t{64} * 1024,
                most_ops = 64; // limits of a transaction; the store rejects larger ones with 400
    // The first key of each transaction that was rejected as too large.
    std::vector<std::string> refused_as_too_large;
    // Called after the decision to send a transaction and before it is sent.
    std::function<void()> stand_still;
    std::size_t commits = 0;

    struct stored {
        std::string value;
        std::uint64_t version = 0, lease = 0;
    };
    std::map<std::string, stored> keys;
    std::map<std::uint64_t, bool> leases; // true while the lease is live
    std::uint64_t revision = 10, lease_count = 0;

    // Executes the transactions whose fate was `held`.
    void release_held() {
        auto transactions = std::move(held_);
        held_.clear();
        for (auto &transaction : transactions)
            transaction();
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
        auto next_fate = fate::answered;
        if (!next_commits.empty()) {
            next_fate = next_commits.front();
            next_commits.pop_front();
        }
        store::transaction_result result;
        if (outage || next_fate == fate::refused) {
            result.outcome = store::transaction_outcome::refused;
            co_return result;
        }
        if (next_fate == fate::held || next_fate == fate::lost) {
            if (next_fate == fate::held)
                held_.emplace_back([this, when, ops] { apply(when, ops); });
            result.outcome = store::transaction_outcome::unknown;
            co_return result;
        }
        result = apply(when, ops);
        if (next_fate == fate::unanswered)
            result = {store::transaction_outcome::unknown, 0, {}, ""};
        co_return result;
    }

    net::awaitable<std::optional<store::key_lookup>> get(std::string key,
                                                         store::request_priority) override {
        co_await net::sleep_for(1ms);
        if (outage)
            co_return std::nullopt;
        store::key_lookup result;
        if (auto found = keys.find(key); found != keys.end()) {
            result.found = true;
            result.item = {key, found->second.value, found->second.version, found->second.lease};
        } else {
            result.revision = revision;
        }
        co_return result;
    }

    net::awaitable<std::optional<wire::range_answer>> list(std::string prefix,
                                                           store::request_priority) override {
        co_await net::sleep_for(1ms);
        if (outage)
            co_return std::nullopt;
        wire::range_answer result;
        result.revision = revision;
        for (auto &[key, entry] : keys)
            if (key.starts_with(prefix))
                result.items.push_back({key, entry.value, entry.version, entry.lease});
        co_return result;
    }

    net::awaitable<store::watch_result> watch(std::string, std::uint64_t since, int,
                                              store::request_priority) override {
        co_await net::sleep_for(20ms);
        if (outage)
            co_return store::watch_result{};
        store::watch_result result;
        result.outcome = store::watch_outcome::changes;
        result.changes.revision = since;
        co_return result;
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
        std::erase_if(keys, [&](auto &entry) { return entry.second.lease == lease && lease != 0; });
    }

    store::transaction_result apply(const std::vector<txn_condition> &when,
                                    const std::vector<txn_op> &ops) {
        store::transaction_result result;
        for (auto &condition : when) {
            auto found = keys.find(condition.key);
            if ((found == keys.end() ? 0 : found->second.version) != condition.revision)
                result.failed.push_back(condition.key);
        }
        if (!result.failed.empty()) {
            result.outcome = store::transaction_outcome::conflict;
            result.revision = revision;
            return result;
        }
        for (auto &operation : ops)
            if (operation.lease && !leases[operation.lease]) {
                result.outcome = store::transaction_outcome::rejected;
                result.error = "no such lease";
                return result;
            }
        bool fits = ops.size() <= most_ops;
        for (auto &operation : ops)
            fits = fits && operation.value.size() <= most_value_bytes;
        if (!fits) {
            refused_as_too_large.push_back(ops.front().key);
            result.outcome = store::transaction_outcome::rejected;
            result.error = "too large";
            return result;
        }
        result.outcome = store::transaction_outcome::committed;
        result.revision = ++revision;
        for (auto &operation : ops)
            if (operation.value.empty())
                keys.erase(operation.key);
            else
                keys[operation.key] = {operation.value, revision, operation.lease};
        return result;
    }

  private:
    net::asio::io_context &io_;
    std::deque<std::function<void()>> held_;
};

} // namespace spindlecroft::test
