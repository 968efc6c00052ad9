// The rate limit of the key-value store on write operations, without input or output.
#pragma once
#include "common/time.hpp"
#include <optional>

namespace spindlecroft::store {

// The current limit applies until refusals show that the next, smaller one is in force.
class write_rate_limit {
  public:
    // next: a smaller limit that takes effect without notice, if any. Operations per second.
    write_rate_limit(double present, std::optional<double> next) : limit_(present), next_(next) {}
    double limit() const { return limit_; }
    // Counts a refusal for exceeding the rate. Returns true when the limit is lowered by it, which
    // is permanent.
    bool note_refusal(time_point now);

  private:
    double limit_;
    std::optional<double> next_;
    int refusals_ = 0; // since window_began_
    std::optional<time_point> window_began_;
};

} // namespace spindlecroft::store
