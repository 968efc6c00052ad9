// Group commit: changes that arrive close together share a transaction. One transaction is open at
// a time, so that a change of unknown outcome is settled before the next one.
#pragma once
#include "store/state_client.hpp"
#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace spindlecroft::store {

enum class unit_outcome { committed, conflict, lost };

struct unit {
    std::vector<txn_condition> when; // on keys that others write too
    std::vector<txn_op> ops;
    urgency rank = urgency::rest;
    bool owned = false;    // keys without a condition are ours alone; their versions are known here
    double give_up_at = 0; // s; not sent any more from then on; 0: never given up
    std::function<void(unit_outcome, std::uint64_t revision)> result;
    std::function<void(std::uint64_t revision)> noted; // once it is durable, before `result`
};

// Chooses which waiting units share the next transaction. Pure.
std::vector<std::size_t> choose_units(const std::deque<unit> &waiting, int max_ops,
                                      std::size_t max_bytes);

class committer {
  public:
    // fence: a condition put on every transaction (key and version), e.g. of leadership.
    committer(net::asio::io_context &io, state_client &state, const settings::settings &s,
              std::string name);
    bool full() const;
    void submit(unit u);
    std::size_t waiting() const { return waiting_.size(); }
    // Runs until stop(); what waits then is answered as lost.
    net::awaitable<void> run();
    void stop();

    std::function<std::optional<txn_condition>()> fence; // nothing: not entitled
    std::function<void()> fence_failed; // its key has another version at the state service
    void set_version(const std::string &key, std::uint64_t version);

  private:
    net::awaitable<void> send(std::vector<unit> batch);
    bool permitted() const; // to send a transaction now
    static void drop_given_up(auto &units, double now);
    void note(const txn_op &o, std::uint64_t revision);
    state_client &state_;
    const settings::settings &settings_;
    std::string name_;
    net::signal wake_;
    std::deque<unit> waiting_;
    std::map<std::string, std::uint64_t> versions_; // of owned keys
    bool stopping_ = false;
};

} // namespace spindlecroft::store
