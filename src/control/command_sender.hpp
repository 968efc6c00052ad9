// Sends direct commands: urgent commands go to the worker's own address, without waiting for its
// next heartbeat.
#pragma once
#include "control/leadership.hpp"
#include "net/http.hpp"
#include <map>
#include <memory>
#include <set>
#include <string>

namespace spindlecroft::control {

/// Sends the direct commands of one leadership. Messages in flight keep it alive by shared pointer.
class command_sender : public std::enable_shared_from_this<command_sender> {
  public:
    /// max_connections: connections for commands, in use or kept idle.
    command_sender(net::asio::io_context &io, std::shared_ptr<leadership> term,
                   const membership::member &member, const settings::settings &settings,
                   std::size_t max_connections)
        : io_(io), term_(std::move(term)), member_(member), settings_(settings),
          max_connections_(max_connections) {}

    /// Sends commands to the machines that the scheduler has marked as urgent, as many as
    /// connections allow; the others stay marked.
    void send_urgent_commands();
    /// Closes the connections that have not been used for some time.
    void close_idle_connections(time_point now);

  private:
    /// The commands for one machine, and what is needed to send them.
    struct direct_message {
        std::string machine;
        std::string address;
        std::uint64_t token = 0;
        std::uint64_t incarnation = 0;
        std::vector<command> commands;
        bool has_start = false; // one of the commands starts a task
    };
    /// Sends the commands for one machine. self keeps this object alive until the outcome is known.
    net::awaitable<void> send(std::shared_ptr<command_sender> self, std::string machine);
    /// Composes the message for one machine. Nothing: there are no commands for it, its address is
    /// unknown or the leadership may not act.
    std::optional<direct_message> compose(const std::string &machine) const;
    /// Returns the client for the message's address; null: the address is malformed.
    std::shared_ptr<net::client> client_for(const direct_message &message);
    void handle_reply(const direct_message &message, const net::reply &reply) const;
    [[nodiscard]] bool may_renew() const;

    net::asio::io_context &io_;
    std::shared_ptr<leadership> term_;
    const membership::member &member_;
    const settings::settings &settings_;
    std::size_t max_connections_;
    std::set<std::string> busy_; // machines with a message in flight
    std::map<std::string, std::shared_ptr<net::client>> clients_; // by address
};

} // namespace spindlecroft::control
