// The time types of the program. Decision logic uses these types and never reads a clock itself.
#pragma once
#include <chrono>
#include <optional>

namespace spindlecroft {

/// A duration in seconds, with fractions.
using seconds = std::chrono::duration<double>;

/// A point in time on this process's steady clock. Those of different processes can't be compared.
using time_point = std::chrono::time_point<std::chrono::steady_clock, seconds>;

/// A point in time on the wall clock, as in records and messages. Each machine's clock is wrong by
/// at most the settings' max_clock_error.
using wall_time = std::chrono::time_point<std::chrono::system_clock, seconds>;

/// Returns whether at least `interval` has passed since `last`; true if `last` is not set.
[[nodiscard]] inline bool elapsed(std::optional<time_point> last, seconds interval,
                                  time_point now) {
    return !last || now - *last >= interval;
}

/// Converts between the steady clock and the wall clock. The offset between them is read only once,
/// so that all decisions of one leadership are consistent.
class wall_clock {
  public:
    wall_clock() = default;
    explicit wall_clock(seconds offset) : offset_(offset) {}
    /// Takes the offset from the two clocks' times at one moment.
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
