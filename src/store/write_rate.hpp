// The changes a second that the key-value store allows: the present limit, until refusals show that
// the coming one is in force. Pure.
#pragma once
#include "common/time.hpp"
#include <optional>

namespace spindlecroft::store {

class write_rate_limit {
  public:
    // next: a smaller limit that comes without notice; nothing: none does.
    write_rate_limit(double present, std::optional<double> next) : limit_(present), next_(next) {}
    double limit() const { return limit_; }
    // The service refused a change because there were too many. True: the limit is smaller now, for
    // good.
    bool note_refusal(time_point now);

  private:
    double limit_;
    std::optional<double> next_;
    int refusals_ = 0; // within the window that began at
    std::optional<time_point> window_began_;
};

} // namespace spindlecroft::store
