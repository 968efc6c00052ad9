// Loopback ports for servers that tests start, stop and restart.
#pragma once
#include "settings/settings.hpp"

namespace spindlecroft::test {

// Returns an address on 127.0.0.1 whose port is free and is not returned to any other test process
// while this process runs. The port is outside the kernel's ephemeral range, which serves binds to
// port 0 and outgoing connections, so that it stays free while the server that uses it is down.
settings::address free_address();

} // namespace spindlecroft::test
