// Group commit: changes that arrive close together share a transaction. One transaction is open at
// a time, so that a change of unknown outcome is settled before the next one.
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

// Every unit that is submitted gets one outcome, at the latest when the committer is stopped. A
// unit is written at most once.
class committer {
  public:
    committer(net::asio::io_context &io, key_value_client &state,
              const settings::settings &settings, std::string name);
    // So many units wait that users should be turned away.
    [[nodiscard]] bool is_full() const;
    void submit(write_unit unit);
    [[nodiscard]] std::size_t queue_length() const { return waiting_.size(); }
    // Runs until stop(); what waits then is answered as lost.
    net::awaitable<void> run();
    void stop();
    // Tells the revision of a key that only this committer writes from now on.
    void set_revision(const std::string &key, std::uint64_t revision) {
        revisions_.set(key, revision);
    }

    // A condition put on every transaction, e.g. of leadership. Returns nothing: not entitled to
    // write. Not set: none is needed.
    std::function<std::optional<txn_condition>()> fence;
    // Called when the fence's key has another revision at the key-value store.
    std::function<void()> on_fence_failed;

  private:
    enum class next_step {
        resend,     // send the same transaction once more
        build_next, // what is left of the batch, if anything, goes into a new transaction
    };
    struct earlier_copy {
        bool applied = false;
        std::uint64_t revision = 0;
    };

    // Sends the units of the batch until each has its outcome, or waits in the queue again.
    net::awaitable<void> send(write_batch batch);
    // Nothing: not entitled.
    [[nodiscard]] std::optional<transaction> next_transaction(const write_batch &batch) const;
    [[nodiscard]] bool may_write() const; // to send a transaction now

    // These leave in the batch what has no outcome yet.
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
    // Whether an earlier copy of the transaction, of unknown outcome, was the reason why it failed
    // now, or nobody is permitted to find out: the batch then has its outcome.
    net::awaitable<bool> settled_by_earlier_copy(const transaction &sent, write_batch &batch);
    // Nothing: the permission ended before it was found.
    net::awaitable<std::optional<earlier_copy>> find_earlier_copy(const transaction &sent);
    net::awaitable<void> read_revision(const std::string &key, request_priority priority);

    // Whether the service refused as large a value of the unit before.
    [[nodiscard]] bool is_known_too_large(const write_unit &unit) const;
    void remember_too_large(const write_unit &unit, const std::string &error);

    key_value_client &state_;
    const settings::settings &settings_;
    std::string name_; // in the log
    net::signal unit_submitted_;
    std::deque<write_unit> waiting_;
    known_revisions revisions_;                    // of owned keys
    std::map<std::string, std::size_t> too_large_; // bytes of the smallest value refused, by key
    bool stopping_ = false;
};

} // namespace spindlecroft::store
