// Points in time for tests, as seconds since the epoch of their clock.
#pragma once
#include "common/time.hpp"

namespace spindlecroft::test {

using namespace std::chrono_literals;

inline constexpr time_point at(double second) {
    return time_point{seconds{second}};
}
inline constexpr wall_time wall_at(double second) {
    return wall_time{seconds{second}};
}
// Returns a point in time as a number, to be printed or compared with a tolerance.
inline constexpr double in_seconds(time_point time) {
    return time.time_since_epoch().count();
}

} // namespace spindlecroft::test
