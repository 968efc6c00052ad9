// Ports on loopback for servers that tests start, stop and start again.
#pragma once
#include "settings/settings.hpp"

namespace spindlecroft::test {

// An address on 127.0.0.1 that is free now and that no other test process is given while this
// process lives. Its port is outside the range from which the kernel serves binds to port 0 and
// outgoing connections, so that it stays free while the server at it is down.
settings::address free_address();

} // namespace spindlecroft::test
