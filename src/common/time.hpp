// The time types of the program. All decisions are made with these; none reads a clock by itself.
#pragma once
#include <chrono>
#include <optional>

namespace spindlecroft {

// A length of time with fractions of a second.
using seconds = std::chrono::duration<double>;

// A moment on this process's steady clock. Moments of different processes can't be compared.
using time_point = std::chrono::time_point<std::chrono::steady_clock, seconds>;

// A moment on the clock of day, as in records and messages. Clocks of two machines differ by at
// most the settings' max_clock_error each.
using wall_time = std::chrono::time_point<std::chrono::system_clock, seconds>;

// The time since something last happened is at least `gap`, or it never happened.
[[nodiscard]] inline bool elapsed(std::optional<time_point> last, seconds gap, time_point now) {
    return !last || now - *last >= gap;
}

// Places moments of the clock of day on the steady clock. The offset is read once, so that all
// decisions of one leadership agree.
class wall_clock {
  public:
    wall_clock() = default;
    explicit wall_clock(seconds offset) : offset_(offset) {}
    // The offset between the two clocks at one moment.
    wall_clock(time_point steady, wall_time wall)
        : offset_(wall.time_since_epoch() - steady.time_since_epoch()) {}
    [[nodiscard]] wall_time to_wall(time_point at) const {
        return wall_time{at.time_since_epoch() + offset_};
    }
    [[nodiscard]] time_point to_steady(wall_time at) const {
        return time_point{at.time_since_epoch() - offset_};
    }

  private:
    seconds offset_{};
};

} // namespace spindlecroft
