#include "store/budget.hpp"
#include <algorithm>

namespace spindlecroft::store {

namespace {

// Of the burst; each step down in priority leaves as much more to those above.
constexpr double reserve_per_step = 0.08;

} // namespace

bool token_bucket::try_take(double tokens, request_priority priority, time_point now) {
    if (refilled_at_)
        tokens_ = std::min(burst_, tokens_ + (now - *refilled_at_).count() * rate_);
    refilled_at_ = now;
    double reserve = reserve_per_step * static_cast<int>(priority) * burst_;
    // Guards against starving large transactions: what is above the reserve lets any through, and a
    // large one leaves a debt that all wait for. Asking for its whole size above the reserve let
    // single submissions go before it for ever (simulated machines, 2,250 of them, no task started
    // for a minute).
    if (tokens_ < std::min(reserve + std::min(tokens, 1.0), burst_))
        return false;
    tokens_ -= tokens;
    return true;
}

} // namespace spindlecroft::store
