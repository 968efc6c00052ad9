// Group commit: write units that arrive close together share a transaction. Only one transaction is
// in flight at a time, so that an unknown outcome is resolved before the next transaction.
#pragma once
#include "store/batch.hpp"
#include "store/key_value_client.hpp"
#include "store/transaction.hpp"
#include "store/write_unit.hpp"
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace spindlecroft::store {

// Writes the submitted units. Every unit gets exactly one outcome, at the latest when the committer
// is stopped, and is written at most once.
class committer {
  public:
    committer(net::asio::io_context &io, key_value_client &state,
              const settings::settings &settings, std::string name);
    // Returns whether the queue is so long that new requests of users should be rejected.
    [[nodiscard]] bool is_full() const;
    void submit(write_unit unit);
    [[nodiscard]] std::size_t queue_length() const { return waiting_.size(); }
    // Runs until stop(); units that are still queued then are finished as unconfirmed.
    net::awaitable<void> run();
    void stop();
    // Sets the known revision of a key that only this committer writes from now on.
    void set_revision(const std::string &key, std::uint64_t revision) {
        revisions_.set(key, revision);
    }

    // Returns the condition that every transaction carries, such as the leader key's fencing token;
    // nullopt if this controller may not write at present. Unset: transactions need no fence.
    std::function<std::optional<txn_condition>()> fence;
    // Called when the fence's key has another revision in the key-value store.
    std::function<void()> on_fence_failed;

  private:
    enum class next_step {
        resend,     // send the same transaction once more
        build_next, // put the rest of the batch, if any, into a new transaction
    };
    // Whether an earlier copy of a transaction was applied, and the revision of its commit.
    struct earlier_copy {
        bool applied = false;
        std::uint64_t revision = 0;
    };

    // Sends the units of the batch until each has its outcome or is back in the queue.
    net::awaitable<void> send(write_batch batch);
    // Returns nullopt if this controller may not write at present.
    [[nodiscard]] std::optional<transaction> next_transaction(const write_batch &batch) const;
    [[nodiscard]] bool may_write() const; // neither stopped nor without a fence

    // The following functions leave in the batch the units that have no outcome yet.
    net::awaitable<next_step> send_once(transaction &sent, write_batch &batch);
    next_step retry_if_permitted(write_batch &batch);
    void handle_commit(write_batch &batch, std::uint64_t revision);
    next_step handle_refusal(const transaction &sent, write_batch &batch);
    next_step handle_too_large(const transaction &sent, const std::string &error,
                               write_batch &batch);
    net::awaitable<next_step> handle_conflict(const transaction &sent,
                                              const std::set<std::string> &failed,
                                              write_batch &batch);
    net::awaitable<next_step> handle_fence_failure(const transaction &sent, write_batch &batch);
    net::awaitable<void> drop_conflicting(request_priority priority,
                                          const std::set<std::string> &failed, write_batch &batch);
    // Returns true if the batch has its outcome: an earlier copy of unknown outcome was applied and
    // made this one fail, or this controller may no longer find that out.
    net::awaitable<bool> settled_by_earlier_copy(const transaction &sent, write_batch &batch);
    // Returns nullopt if the permission to write ended before the store answered.
    net::awaitable<std::optional<earlier_copy>> find_earlier_copy(const transaction &sent);
    net::awaitable<void> read_revision(const std::string &key, request_priority priority);

    // Returns whether the store has rejected a value of this size or smaller for one of the keys.
    [[nodiscard]] bool is_known_too_large(const write_unit &unit) const;
    void remember_too_large(const write_unit &unit, const std::string &error);

    key_value_client &state_;
    const settings::settings &settings_;
    std::string name_; // used in log lines
    net::signal unit_submitted_;
    std::deque<write_unit> waiting_;
    known_revisions revisions_;                    // of owned keys
    std::map<std::string, std::size_t> too_large_; // by key: bytes of the smallest rejected value
    bool stopping_ = false;
};

} // namespace spindlecroft::store
