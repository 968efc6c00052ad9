#include "settings/socket_plan.hpp"
#include "constants.hpp"
#include <algorithm>

namespace spindlecroft::settings {

socket_plan plan_sockets(int max_connections) {
    auto all = static_cast<std::size_t>(std::max(max_connections, 0));
    auto part = [&](double share) {
        return static_cast<std::size_t>(share * static_cast<double>(all));
    };
    socket_plan plan;
    plan.commands = std::max<std::size_t>(1, part(constants::command_socket_share));
    plan.peers = std::max(constants::min_peer_sockets, part(constants::peer_socket_share));
    auto rest = plan.commands + plan.peers + constants::reserved_sockets;
    plan.api = all > 2 * rest ? all - rest : std::max<std::size_t>(1, all / 2);
    return plan;
}

} // namespace spindlecroft::settings
