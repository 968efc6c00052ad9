// Division of the process's sockets between servers and clients.
#include "constants.hpp"
#include "net/http.hpp"
#include "settings/settings.hpp"
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace std::chrono_literals;
namespace c = spindlecroft::constants;

// Half as many machines again as the files show: their heartbeats and the commands to them once
// took every socket of the leader, which then heard nobody (simulated machines, a day of 2,250).
TEST(sockets, commands_leave_room_for_reports) {
    for (int all : {1200, 4189, 4233, 5000}) {
        auto p = settings::plan_sockets(all);
        EXPECT_LE(p.api + p.peers + p.commands + c::reserved_sockets,
                  static_cast<std::size_t>(all));
        EXPECT_GE(p.api, static_cast<std::size_t>(0.7 * all));
        EXPECT_GE(p.commands, 100u);
    }
    EXPECT_GE(settings::plan_sockets(20).api, 10u) << "few sockets are shared, not all kept back";
    net::server_limits limits{1000, 75s, 5s};
    EXPECT_FALSE(net::server::is_crowded(850, limits));
    EXPECT_TRUE(net::server::is_crowded(851, limits));
}
