// Direct commands: what the scheduler wants done at once is sent to the worker's own address,
// without waiting for its next heartbeat.
#pragma once
#include "control/leadership.hpp"
#include "net/http.hpp"
#include <map>
#include <memory>
#include <set>
#include <string>

namespace spindlecroft::control {

// Of one leadership. Messages under way hold it by shared pointer.
class command_sender : public std::enable_shared_from_this<command_sender> {
  public:
    // sockets: connections that commands may use, open or kept.
    command_sender(net::asio::io_context &io, std::shared_ptr<leadership> by,
                   const membership::member &member, const settings::settings &settings,
                   std::size_t sockets)
        : io_(io), term_(std::move(by)), member_(member), settings_(settings),
          max_connections_(sockets) {}

    // Sends to each machine that the scheduler marked, as far as there are sockets; the others
    // stay marked.
    void send_urgent_commands();
    // Closes the connections that were not used for a while.
    void close_idle_connections(time_point now);

  private:
    // The commands for one machine, and what is needed to send them.
    struct direct_message {
        std::string machine;
        std::string address;
        std::uint64_t token = 0;
        std::uint64_t incarnation = 0;
        std::vector<command> commands;
        bool has_start = false; // one of them starts a task
    };
    // self keeps this object until the message is settled.
    net::awaitable<void> send(std::shared_ptr<command_sender> self, std::string machine);
    // Nothing: there is nothing to send to it, or it can't be addressed.
    std::optional<direct_message> compose(const std::string &machine) const;
    // Nothing: the address is not one.
    std::shared_ptr<net::client> client_for(const direct_message &what);
    void handle_reply(const direct_message &what, const net::reply &reply) const;
    [[nodiscard]] bool may_renew() const;

    net::asio::io_context &io_;
    std::shared_ptr<leadership> term_;
    const membership::member &member_;
    const settings::settings &settings_;
    std::size_t max_connections_;
    std::set<std::string> busy_; // machines with a message under way
    std::map<std::string, std::shared_ptr<net::client>> clients_; // by address
};

} // namespace spindlecroft::control
