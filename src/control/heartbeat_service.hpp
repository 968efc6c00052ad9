// Responds to the workers' heartbeats: reconciles them with the scheduler's state, renews leases
// and sends commands.
#pragma once
#include "control/leadership.hpp"
#include "net/http.hpp"
#include <functional>
#include <memory>
#include <string>

namespace spindlecroft::control {

/// Handles the workers' heartbeats.
class heartbeat_service {
  public:
    /// Returns the leadership of this controller; null while it does not lead.
    using leadership_getter = std::function<std::shared_ptr<leadership>()>;
    heartbeat_service(membership::member &member, const settings::settings &settings,
                      leadership_getter get_leadership)
        : member_(member), settings_(settings), get_leadership_(std::move(get_leadership)) {}
    /// Handles a heartbeat. Responds with 200 and commands, with 421 while another controller
    /// leads, with 400 to a malformed heartbeat, and with 503 to one that is out of date.
    net::awaitable<net::response> on_heartbeat(std::string body);

  private:
    /// Returns a 421 response with the leader's name, if that is known.
    [[nodiscard]] net::response redirect() const;
    net::response respond(const std::shared_ptr<leadership> &term, const heartbeat &received);

    membership::member &member_;
    const settings::settings &settings_;
    leadership_getter get_leadership_;
};

} // namespace spindlecroft::control
