// Group commit: changes that arrive close together share a transaction. One transaction is open at
// a time, so that a change of unknown outcome is settled before the next one.
#pragma once
#include "common/time.hpp"
#include "store/key_value_client.hpp"
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace spindlecroft::store {

enum class unit_outcome {
    committed,
    conflict,
    lost,
    too_large, // for the key-value store, however it is split
};

struct unit {
    std::vector<txn_condition> when; // on keys that others write too
    std::vector<txn_op> ops;
    request_priority priority = request_priority::background;
    bool owned = false; // keys without a condition are ours alone; their versions are known here
    std::optional<time_point> give_up_at; // not sent any more from then on
    std::function<void(unit_outcome, std::uint64_t revision)> result;
    std::function<void(std::uint64_t revision)> noted; // once it is durable, before `result`
};

// Chooses which waiting units share the next transaction. Pure.
std::vector<std::size_t> choose_units(const std::deque<unit> &waiting, int max_ops,
                                      std::size_t max_bytes);

class committer {
  public:
    // fence: a condition put on every transaction (key and version), e.g. of leadership.
    committer(net::asio::io_context &io, key_value_client &state, const settings::settings &s,
              std::string name);
    bool full() const;
    void submit(unit u);
    std::size_t waiting() const { return waiting_.size(); }
    // Runs until stop(); what waits then is answered as lost.
    net::awaitable<void> run();
    void stop();

    std::function<std::optional<txn_condition>()> fence; // nothing: not entitled
    std::function<void()> fence_failed; // its key has another version at the key-value store
    void set_version(const std::string &key, std::uint64_t version);

  private:
    struct transaction {
        std::vector<txn_condition> conditions;
        std::vector<txn_op> ops;
        std::optional<txn_condition> fence;
        request_priority priority = request_priority::background;
        bool unsure = false;                // a copy of it may have been, or may yet be, executed
        std::size_t kept_after_refusal = 0; // units
    };
    enum class next_step {
        same_again, // send the same transaction once more
        settled,    // what is left of the batch, if anything, goes into a new transaction
    };
    struct own_copy {
        bool applied = false;
        std::uint64_t revision = 0;
    };
    // Sends the units of the batch until each has its outcome.
    net::awaitable<void> send(std::vector<unit> batch);
    // Nothing: not entitled.
    std::optional<transaction> make_transaction(const std::vector<unit> &batch) const;
    // These leave in the batch what has no outcome yet.
    net::awaitable<next_step> send_once(transaction &t, std::vector<unit> &batch);
    net::awaitable<next_step> on_too_large(const transaction &t, const std::string &error,
                                           std::vector<unit> &batch);
    // Whether the service refused as large a value of the unit before.
    bool known_too_large(const unit &u) const;
    next_step again_if_permitted(std::vector<unit> &batch);
    void on_committed(std::vector<unit> &batch, std::uint64_t revision);
    next_step on_refused(const transaction &t, std::vector<unit> &batch);
    net::awaitable<next_step> on_conflict(const transaction &t, const std::set<std::string> &failed,
                                          std::vector<unit> &batch);
    net::awaitable<next_step> on_fence_failed(const transaction &t, std::vector<unit> &batch);
    net::awaitable<void> drop_conflicting(request_priority priority,
                                          const std::set<std::string> &failed,
                                          std::vector<unit> &batch);
    // Nothing: the permission ended before it was found.
    net::awaitable<std::optional<own_copy>> find_own_copy(const transaction &t);
    net::awaitable<void> read_version(const std::string &key, request_priority priority);
    // Gives every unit of the batch its outcome and empties it.
    static void tell(std::vector<unit> &batch, unit_outcome how, std::uint64_t revision = 0);
    bool permitted() const; // to send a transaction now
    static void drop_given_up(auto &units, time_point now);
    void note(const txn_op &o, std::uint64_t revision);
    key_value_client &state_;
    const settings::settings &settings_;
    std::string name_;
    net::signal wake_;
    std::deque<unit> waiting_;
    std::map<std::string, std::uint64_t> versions_; // of owned keys
    std::map<std::string, std::size_t> too_large_;  // bytes of the smallest value refused, by key
    bool stopping_ = false;
};

} // namespace spindlecroft::store
