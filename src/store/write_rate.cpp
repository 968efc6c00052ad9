#include "store/write_rate.hpp"
#include "constants.hpp"

namespace spindlecroft::store {

namespace c = constants;

// Several refusals within the window are required: a single one may only mean that several
// controllers were busy in the same second.
bool write_rate_limit::note_refusal(time_point now) {
    if (!next_)
        return false;
    if (!window_began_ || now - *window_began_ > c::write_refusal_window) {
        window_began_ = now;
        refusals_ = 0;
    }
    if (++refusals_ < c::refusals_for_next_limit)
        return false;
    limit_ = *next_;
    next_.reset();
    return true;
}

} // namespace spindlecroft::store
