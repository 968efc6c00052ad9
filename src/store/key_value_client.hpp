// Client of the consensus-backed key-value store. Calls are limited by a budget of requests and
// writes that this controller shares with the others.
#pragma once
#include "common/time.hpp"
#include "net/http.hpp"
#include "store/budget.hpp"
#include "store/request_priority.hpp"
#include "store/write_queue.hpp"
#include "store/write_rate.hpp"
#include "wire/codec.hpp"
#include <memory>
#include <optional>

namespace spindlecroft::store {

// The result of reading one key.
struct key_lookup {
    bool found = false;
    std::uint64_t revision = 0; // not found: the store's revision at the read; found: 0
    kv_item item;               // found: key, value, revision and lease
};

enum class watch_outcome {
    changes,   // the list of changes is complete; it may be empty
    compacted, // the store no longer has the changes since that revision: list again
    failed,    // no response, or a malformed one
};

// The result of a watch.
struct watch_result {
    watch_outcome outcome = watch_outcome::failed;
    wire::range_answer changes; // includes the revision up to which the list is complete
};

enum class transaction_outcome {
    committed,
    conflict, // a condition did not hold; nothing was written
    refused,  // certainly not executed; may be resent
    unknown,  // may have been executed, or may still be
    rejected, // never accepted unchanged: too large, or its lease has ended
};

// The result of a transaction, whose operations are applied atomically if every condition holds.
struct transaction_result {
    transaction_outcome outcome = transaction_outcome::refused;
    std::uint64_t revision = 0;      // of the commit; at a conflict: of the store
    std::vector<std::string> failed; // conflict: keys whose conditions did not hold
    std::string error;               // rejected: the store's error message
};

enum class lease_renewal {
    renewed,
    ended,   // the lease and the keys bound to it are gone
    unknown, // may have been renewed
};

// Calls wait for the budget according to their priority and return on a response or a timeout; none
// throws. An empty result means that the store did not respond as expected.
class key_value_client {
  public:
    key_value_client(net::asio::io_context &io, const settings::settings &settings);
    virtual ~key_value_client() = default; // tests substitute a fake store

    // Reads one key.
    virtual net::awaitable<std::optional<key_lookup>> get(std::string key,
                                                          request_priority priority);
    // Reads all keys with the prefix, page by page. The revision is that of the first page: a watch
    // from there repeats changes that later pages already contain.
    virtual net::awaitable<std::optional<wire::range_answer>> list(std::string prefix,
                                                                   request_priority priority);
    // Waits up to hold_ms (milliseconds) for changes after the revision `since`.
    virtual net::awaitable<watch_result> watch(std::string prefix, std::uint64_t since, int hold_ms,
                                               request_priority priority);
    // Commits a compare-and-swap over several keys. permitted: checked right before the transaction
    // is sent; if it returns false, the transaction counts as refused.
    virtual net::awaitable<transaction_result> commit(std::vector<txn_condition> conditions,
                                                      std::vector<txn_op> ops,
                                                      request_priority priority,
                                                      net::permission permitted = {});
    // Creates a lease. Keys bound to it are deleted when it ends.
    virtual net::awaitable<std::optional<std::uint64_t>> create_lease(seconds ttl);
    virtual net::awaitable<lease_renewal> renew_lease(std::uint64_t lease);
    virtual net::awaitable<void> revoke_lease(std::uint64_t lease);

    // Returns the time since the last response other than a refusal (429, 503).
    [[nodiscard]] seconds time_since_last_reply(time_point now) const {
        return now - last_reply_at_;
    }
    // Returns whether the store is believed to be reachable: it responded recently and no request
    // has failed since.
    [[nodiscard]] bool is_available(time_point now) const;
    // Sets whether this controller leads; the leader has a larger share of the budget.
    void set_leading(bool yes);
    // Returns the write operations per second that the store allows all controllers together.
    [[nodiscard]] double write_limit() const { return write_rate_.limit(); }

    std::uint64_t sent_requests = 0; // requests sent
    std::uint64_t sent_writes = 0;   // write operations in these requests

  private:
    // Returns when the budgets admit one request with this number of write operations.
    net::awaitable<void> wait_for_budget(request_priority priority, double write_count);
    // Waits for the write budget; returns the priority with which the writes were admitted.
    net::awaitable<request_priority> wait_for_write_budget(const write_queue_entry &entry,
                                                           request_priority priority,
                                                           double write_count);
    net::awaitable<void> wait_for_request_budget(request_priority priority);
    net::awaitable<net::reply> call(std::string method, std::string target, std::string body,
                                    seconds timeout, request_priority priority,
                                    double write_count = 0, net::permission permitted = {});
    void note_reply(const net::reply &reply, double write_count);
    void set_rates();
    void on_too_many_writes();

    net::client client_;
    const settings::settings &settings_;
    token_bucket request_budget_, write_budget_;
    write_rate_limit write_rate_;
    bool leading_ = false;
    // Shared with the waiting coroutines, which outlive the client at the end of the program.
    std::shared_ptr<write_queue> write_queue_ = std::make_shared<write_queue>();
    time_point last_reply_at_;
    bool failed_since_reply_ = false; // a 503 or no response
};

} // namespace spindlecroft::store
