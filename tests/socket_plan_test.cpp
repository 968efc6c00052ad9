// The division of a process's sockets among its servers and clients.
#include "constants.hpp"
#include "net/http.hpp"
#include "settings/settings.hpp"
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace std::chrono_literals;
namespace c = spindlecroft::constants;

// Guards against a leader without free sockets: in a simulated day with 2,250 machines, half as
// many again as in the recorded days, their heartbeats and the commands to them used every socket
// of the leader, which then received no messages.
TEST(socket_plan, commands_leave_sockets_for_heartbeats) {
    for (int total : {1200, 4189, 4233, 5000}) {
        auto plan = settings::plan_sockets(total);
        EXPECT_LE(plan.api + plan.peers + plan.commands + c::reserved_sockets,
                  static_cast<std::size_t>(total));
        EXPECT_GE(plan.api, static_cast<std::size_t>(0.7 * total));
        EXPECT_GE(plan.commands, 100u);
    }
    EXPECT_GE(settings::plan_sockets(20).api, 10u) << "few sockets are shared, not all reserved";
    net::server_limits limits{1000, 75s, 5s};
    EXPECT_FALSE(net::server::is_crowded(850, limits));
    EXPECT_TRUE(net::server::is_crowded(851, limits));
}
