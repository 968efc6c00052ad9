// How a controller divides the sockets that it may have open.
#pragma once
#include <cstddef>

namespace spindlecroft::settings {

/// Most sockets of each kind.
struct socket_plan {
    std::size_t api = 0;      // users, workers and health checks
    std::size_t peers = 0;    // other controllers
    std::size_t commands = 0; // commands to workers, under way or kept open
};

/// Guards against a fleet that takes every socket: workers' connections, commands to them, users
/// and other controllers each have a part that the others can't use up.
[[nodiscard]] socket_plan plan_sockets(int max_connections);

} // namespace spindlecroft::settings
