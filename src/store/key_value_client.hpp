// The client of the key-value store: a request budget with priorities, and the calls of its
// protocol.
#pragma once
#include "common/time.hpp"
#include "net/http.hpp"
#include "store/write_rate.hpp"
#include "wire/codec.hpp"
#include <list>
#include <memory>
#include <optional>

namespace spindlecroft::store {

// Who goes first when the budget is short.
enum class request_priority { leadership, cancel, accept, placement, done, rest };

// A budget that refills with time; lower urgencies leave a reserve for higher ones. Pure.
class budget {
  public:
    explicit budget(double per_s, seconds burst = seconds{1})
        : rate_(per_s), burst_(per_s * burst.count()) {
        tokens_ = burst_;
    }
    // Takes n if allowed; otherwise returns false and takes nothing.
    bool take(double n, request_priority u, time_point now);
    void set_rate(double per_s) { rate_ = per_s, burst_ = per_s; }
    void drain() { tokens_ = 0; } // the service refused: others used it up

  private:
    double rate_, burst_, tokens_ = 0;
    std::optional<time_point> last_;
};

// Changes that wait for the budget. The more urgent go first, but not past one that has waited
// long: while submissions keep coming, rentals and placements would never have their turn. Pure.
class write_line {
  public:
    using ticket = std::list<time_point>::iterator;
    ticket enter(time_point now) { return waiting_.insert(waiting_.end(), now); }
    void leave(ticket t) { waiting_.erase(t); }
    bool may_go(ticket t, request_priority u, time_point now) const;
    // Who has waited long takes from the reserve of the more urgent.
    request_priority priority_of(ticket t, request_priority u, time_point now) const;

  private:
    std::list<time_point> waiting_; // since when
};

enum class txn_outcome { committed, conflict, refused, unknown, bad };
struct txn_result {
    txn_outcome how = txn_outcome::refused;
    std::uint64_t revision = 0;
    std::vector<std::string> failed;
    std::string error;
};

class key_value_client {
  public:
    key_value_client(net::asio::io_context &io, const settings::settings &s);
    virtual ~key_value_client() = default; // tests put a stand-in in its place

    // Each returns nothing when the service did not answer as expected.
    struct item {
        bool found = false;
        wire::range_answer at; // revision when not found
        kv_item kv;
    };
    virtual net::awaitable<std::optional<item>> get(std::string key, request_priority u);
    virtual net::awaitable<std::optional<wire::range_answer>> list(std::string prefix,
                                                                   request_priority u);
    // status 410: nothing, with gone set.
    virtual net::awaitable<std::optional<wire::range_answer>>
    watch(std::string prefix, std::uint64_t since, int hold_ms, request_priority u, bool &gone);
    // permitted: asked right before the transaction is sent; if not, it counts as refused.
    virtual net::awaitable<txn_result> commit(std::vector<txn_condition> when,
                                              std::vector<txn_op> ops, request_priority u,
                                              net::permission permitted = {});
    virtual net::awaitable<std::optional<std::uint64_t>> new_lease(seconds ttl);
    enum class renewal { ok, ended, unsure };
    virtual net::awaitable<renewal> renew(std::uint64_t lease);
    virtual net::awaitable<void> end_lease(std::uint64_t lease);

    // Since the service last answered properly.
    seconds silence(time_point now) const { return now - last_ok_; }
    // Whether it serves this node as far as known: it answered of late, and nothing failed since.
    bool serving(time_point now) const;
    void leading(bool yes); // the leader may use more of the budget
    // Changes a second that the service allows all controllers together.
    double write_limit() const { return write_rate_.limit(); }
    std::uint64_t requests = 0, writes = 0;

  private:
    net::awaitable<void> admit(request_priority u, double writes);
    net::awaitable<net::reply> call(std::string method, std::string target, std::string body,
                                    seconds timeout, request_priority u, double writes = 0,
                                    net::permission permitted = {});
    net::client client_;
    const settings::settings &settings_;
    void set_rates();
    void on_too_many_writes();
    budget requests_, writes_;
    write_rate write_rate_;
    bool leading_ = false;
    // Shared with those who wait: at the end of the program their coroutines outlive the client.
    std::shared_ptr<write_line> line_ = std::make_shared<write_line>();
    time_point last_ok_;
    bool failed_since_ok_ = false; // refused or without an answer
};

} // namespace spindlecroft::store
