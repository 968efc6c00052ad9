#include "store/write_queue.hpp"
#include "constants.hpp"
#include <algorithm>

namespace spindlecroft::store {

bool write_queue::may_proceed(ticket position, request_priority priority, time_point now) const {
    if (priority <= request_priority::cancel || waiting_.empty() || waiting_.front() == *position)
        return true;
    return now - waiting_.front() <= constants::write_aging_time;
}

request_priority write_queue::effective_priority(ticket position, request_priority priority,
                                                 time_point now) const {
    bool waited_long = now - *position > constants::write_aging_time;
    return waited_long ? std::min(priority, request_priority::cancel) : priority;
}

} // namespace spindlecroft::store
