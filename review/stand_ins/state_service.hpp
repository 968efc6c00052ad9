// A stand-in for the state service: a key-value store in memory, as PROTOCOL describes it. Each
// controller reaches it through a door of its own, so that a case can disturb one controller alone.
#pragma once
#include "net/async.hpp"
#include "net/http.hpp"
#include "settings/settings.hpp"
#include <boost/json.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace review {

namespace json = boost::json;
namespace net = spindlecroft::net;
using net::awaitable;
using spindlecroft::seconds;
using spindlecroft::time_point;

/// A bucket of one second's worth of requests or changes.
class rate_bucket {
  public:
    explicit rate_bucket(double rate) : rate_(rate), tokens_(rate) {}
    bool take(double count, time_point now);

  private:
    double rate_;
    double tokens_;
    std::optional<time_point> filled_at_;
};

/// The limits of the service, as in the settings of the controllers.
struct state_limits {
    double rps = 200;
    double write_rps = 20;
    double value_kb = 4;
    int txn_ops = 8;
};

class state_service {
  public:
    /// What a door does with a request. Decided when the request arrives.
    struct treatment {
        bool refuse = false;    // 503, not executed
        bool no_answer = false; // never answered; executed unless `refuse`
        seconds before{};       // delay before the request is executed
        seconds after{};        // delay between execution and answer
    };
    using disturbance = std::function<treatment(const net::request &)>;

    state_service(net::asio::io_context &io, state_limits limits);
    /// Opens the door of the next controller and returns its address.
    spindlecroft::settings::address open_door();
    /// Sets how a controller's requests are treated from now on. Empty: as usual.
    void disturb(std::size_t door, disturbance how) { doors_[door].how = std::move(how); }
    /// In an outage every request gets 503, and no lease ends.
    void set_outage(bool on);

    /// Returns the value of a key.
    [[nodiscard]] std::optional<json::value> value_of(const std::string &key) const;
    [[nodiscard]] std::uint64_t ledger() const { return ledger_; }
    /// Called after each transaction that was applied: door and body.
    std::function<void(std::size_t, const json::object &)> on_commit;
    std::size_t refused_for_rate = 0, commits = 0, conflicts = 0;

  private:
    struct entry {
        json::value data;
        std::uint64_t mark = 0, loan = 0;
    };
    struct change {
        std::uint64_t mark;
        std::string key;
        std::optional<json::value> data;
    };
    struct lease {
        seconds ttl{};
        time_point ends;
    };
    struct door {
        std::unique_ptr<net::server> server;
        disturbance how;
    };

    awaitable<net::response> serve(std::size_t index, net::request received);
    awaitable<net::response> execute(std::size_t index, const net::request &received);
    awaitable<net::response> watch(std::size_t index,
                                   const std::map<std::string, std::string> &query);
    net::response range(const std::map<std::string, std::string> &query) const;
    net::response commit(std::size_t index, const json::object &transaction);
    void write(const std::string &key, json::value data, std::uint64_t loan);
    void drop(const std::string &key);
    void end_lease(std::uint64_t id);
    void expire_leases();

    net::asio::io_context &io_;
    state_limits limits_;
    rate_bucket requests_, writes_;
    std::vector<door> doors_;
    std::map<std::string, entry> keys_;
    std::deque<change> changes_;
    std::uint64_t forgotten_through_ = 0; // changes up to this one are no longer kept
    std::map<std::uint64_t, lease> leases_;
    std::uint64_t ledger_ = 100, last_lease_ = 0;
    bool outage_ = false;
};

} // namespace review
