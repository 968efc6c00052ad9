// A token bucket that keeps a reserve for urgent requests. Pure: it is given the time.
#pragma once
#include "common/time.hpp"
#include "store/request_priority.hpp"
#include <optional>

namespace spindlecroft::store {

// Refills with time, up to its burst. Less urgent requests leave a reserve to more urgent ones.
class token_bucket {
  public:
    // rate: tokens a second. burst: how long the bucket takes to fill; it starts full.
    explicit token_bucket(double rate, seconds burst = seconds{1})
        : rate_(rate), burst_(rate * burst.count()), tokens_(burst_) {}
    // Takes the tokens if the priority allows it; otherwise returns false and takes nothing.
    [[nodiscard]] bool try_take(double tokens, request_priority priority, time_point now);
    // Tokens a second from now on; the bucket then holds those of one second.
    void set_rate(double rate) {
        rate_ = rate;
        burst_ = rate;
    }
    // The service refused a request: others have used up what it allows.
    void drain() { tokens_ = 0; }

  private:
    double rate_;  // tokens a second
    double burst_; // tokens; the bucket holds no more
    double tokens_ = 0;
    std::optional<time_point> refilled_at_;
};

} // namespace spindlecroft::store
