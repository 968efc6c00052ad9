// Moments for tests: what happens at a given second.
#pragma once
#include "common/time.hpp"

namespace spindlecroft::test {

using namespace std::chrono_literals;

inline constexpr time_point at(double s) {
    return time_point{seconds{s}};
}
inline constexpr wall_time wall_at(double s) {
    return wall_time{seconds{s}};
}
// The same as a number, to be shown or compared with a tolerance.
inline constexpr double in_seconds(time_point t) {
    return t.time_since_epoch().count();
}

} // namespace spindlecroft::test
