// A token bucket that keeps a reserve for urgent requests. The caller passes in the current time.
#pragma once
#include "common/time.hpp"
#include "store/request_priority.hpp"
#include <optional>

namespace spindlecroft::store {

// Refills at a constant rate up to its burst. Less urgent requests leave a reserve for more urgent
// ones. The number of tokens may become negative: a large request leaves a debt.
class token_bucket {
  public:
    // rate: tokens per second. burst: the time in which the empty bucket fills. It starts full.
    explicit token_bucket(double rate, seconds burst = seconds{1})
        : rate_(rate), burst_(rate * burst.count()), tokens_(burst_) {}
    // Takes the tokens if the priority's reserve allows it; otherwise returns false and takes none.
    [[nodiscard]] bool try_take(double tokens, request_priority priority, time_point now);
    // Sets the rate (tokens per second) and a burst of one second's tokens.
    void set_rate(double rate) {
        rate_ = rate;
        burst_ = rate;
    }
    // Empties the bucket after the store refused a request because its rate limit was used up.
    void drain() { tokens_ = 0; }

  private:
    double rate_;  // tokens per second
    double burst_; // capacity in tokens
    double tokens_ = 0;
    std::optional<time_point> refilled_at_;
};

} // namespace spindlecroft::store
