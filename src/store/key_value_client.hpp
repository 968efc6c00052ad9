// The client of the consensus-backed key-value store: the calls of its protocol, within a budget of
// requests and writes that this node shares with the other controllers.
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

// The answer to the read of one key.
struct key_lookup {
    bool found = false;
    std::uint64_t revision = 0; // not found: of the store at the read; found: not told
    kv_item item;               // found: the key with its value, its revision and its lease
};

enum class watch_outcome {
    changes,   // the answer is complete; it may hold no change
    compacted, // the store no longer has the changes from that revision on: list anew
    failed,    // no answer, or none that can be read
};

// The answer to a watch.
struct watch_result {
    watch_outcome outcome = watch_outcome::failed;
    wire::range_answer changes; // with the revision up to which they are complete
};

enum class transaction_outcome {
    committed,
    conflict, // a condition did not hold; nothing was written
    refused,  // surely not executed; it may be sent again
    unknown,  // it may have been executed, or may yet be
    rejected, // the store never takes it as it is: too large, or its lease has ended
};

// The answer to a transaction: writes that are applied all or none, if every condition holds.
struct transaction_result {
    transaction_outcome outcome = transaction_outcome::refused;
    std::uint64_t revision = 0;      // of the commit, or of the store at a conflict
    std::vector<std::string> failed; // at a conflict: the keys whose conditions did not hold
    std::string error;               // rejected: the store's words
};

enum class lease_renewal {
    renewed,
    ended,   // the lease and the keys bound to it are gone
    unknown, // it may have been renewed
};

// Every call takes its priority and returns when the answer is there or its time is over; none
// throws. An empty result means that the store did not answer as expected.
class key_value_client {
  public:
    key_value_client(net::asio::io_context &io, const settings::settings &settings);
    virtual ~key_value_client() = default; // tests put a stand-in in its place

    // Reads one key.
    virtual net::awaitable<std::optional<key_lookup>> get(std::string key,
                                                          request_priority priority);
    // Reads all keys with the prefix, page by page. The revision is that of the first page: a watch
    // from there repeats what later pages hold.
    virtual net::awaitable<std::optional<wire::range_answer>> list(std::string prefix,
                                                                   request_priority priority);
    // Waits at most hold_ms (milliseconds) for changes after the revision `since`.
    virtual net::awaitable<watch_result> watch(std::string prefix, std::uint64_t since, int hold_ms,
                                               request_priority priority);
    // A compare-and-swap over several keys. permitted: asked right before the transaction is sent;
    // if not, it counts as refused.
    virtual net::awaitable<transaction_result> commit(std::vector<txn_condition> conditions,
                                                      std::vector<txn_op> ops,
                                                      request_priority priority,
                                                      net::permission permitted = {});
    // A new lease. Keys written under it are deleted when it ends.
    virtual net::awaitable<std::optional<std::uint64_t>> create_lease(seconds ttl);
    virtual net::awaitable<lease_renewal> renew_lease(std::uint64_t lease);
    virtual net::awaitable<void> revoke_lease(std::uint64_t lease);

    // How long ago the store last answered properly.
    [[nodiscard]] seconds time_since_last_reply(time_point now) const {
        return now - last_reply_at_;
    }
    // Whether it serves this node as far as known: it answered of late, and nothing failed since.
    [[nodiscard]] bool is_available(time_point now) const;
    // The leader may use more of the budget.
    void set_leading(bool yes);
    // Changes a second that the store allows all controllers together.
    [[nodiscard]] double write_limit() const { return write_rate_.limit(); }

    std::uint64_t sent_requests = 0; // sent so far
    std::uint64_t sent_writes = 0;   // in these requests

  private:
    // Returns when the budgets have room for one request with so many writes.
    net::awaitable<void> wait_for_budget(request_priority priority, double write_count);
    // Takes the writes from their budget; returns the priority with which they were let through.
    net::awaitable<request_priority> wait_for_write_budget(const write_queue_entry &place,
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
    // Shared with those who wait: at the end of the program their coroutines outlive the client.
    std::shared_ptr<write_queue> write_queue_ = std::make_shared<write_queue>();
    time_point last_reply_at_;
    bool failed_since_reply_ = false; // refused or without an answer
};

} // namespace spindlecroft::store
