// The division of a controller's permitted sockets among its servers and clients.
#pragma once
#include <cstddef>

namespace spindlecroft::settings {

/// Most open sockets for each purpose.
struct socket_plan {
    std::size_t api = 0;      // connections from users, workers and health checks
    std::size_t peers = 0;    // connections from other controllers
    std::size_t commands = 0; // connections for commands to workers, active or idle
};

/// Divides the sockets so that a large fleet can't use up all of them: workers' connections,
/// commands to them, users and other controllers each have a share of their own.
[[nodiscard]] socket_plan plan_sockets(int max_connections);

} // namespace spindlecroft::settings
