#include "settings/socket_plan.hpp"
#include "constants.hpp"
#include <algorithm>

namespace spindlecroft::settings {

socket_plan plan_sockets(int max_connections) {
    auto total = static_cast<std::size_t>(std::max(max_connections, 0));
    auto portion = [&](double share) {
        return static_cast<std::size_t>(share * static_cast<double>(total));
    };
    socket_plan plan;
    plan.commands = std::max<std::size_t>(1, portion(constants::command_socket_share));
    plan.peers = std::max(constants::min_peer_sockets, portion(constants::peer_socket_share));
    auto other_uses = plan.commands + plan.peers + constants::reserved_sockets;
    plan.api = total > 2 * other_uses ? total - other_uses : std::max<std::size_t>(1, total / 2);
    return plan;
}

} // namespace spindlecroft::settings
