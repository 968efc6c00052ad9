// Answers the workers' heartbeats: reconciles them with the scheduler's state, renews leases, and
// gives commands.
#pragma once
#include "control/leadership.hpp"
#include "net/http.hpp"
#include <functional>
#include <memory>
#include <string>

namespace spindlecroft::control {

class heartbeat_service {
  public:
    // current: the leadership of this controller, if it leads.
    using leadership_getter = std::function<std::shared_ptr<leadership>()>;
    heartbeat_service(membership::member &member, const settings::settings &settings,
                      leadership_getter current)
        : member_(member), settings_(settings), get_leadership_(std::move(current)) {}
    // 200 with commands; 421 while another controller leads; 400 for a malformed message; 503 for
    // one that is out of date.
    net::awaitable<net::response> on_heartbeat(std::string body);

  private:
    // 421, with the leader's name if it is known.
    [[nodiscard]] net::response redirect() const;
    net::response respond(const std::shared_ptr<leadership> &by, const heartbeat &received);

    membership::member &member_;
    const settings::settings &settings_;
    leadership_getter get_leadership_;
};

} // namespace spindlecroft::control
