#include "planning/bidder.hpp"
#include <algorithm>

namespace spindlecroft::planning {

void bidder::hold(const job_spec &s, seconds remaining) {
    free.take(s);
    if (s.shape == job_shape::service) {
        whole.take(s);
    } else {
        work += remaining;
    }
    if (s.priority == priority_class::critical)
        critical.take(s);
    if (s.priority != priority_class::low)
        above_idle.take(s);
}

bool bidder::fetch(std::uint32_t image) {
    if (holds(cached, image) || holds(coming, image))
        return false;
    coming.push_back(image);
    ++fetches;
    return true;
}

bool type_allowed(const job_spec &spec, const std::string &type) {
    return !spec.types ||
           std::find(spec.types->begin(), spec.types->end(), type) != spec.types->end();
}

int displaced_slots(const bidder &machine, const job_spec &spec,
                    const std::optional<job_spec> &array) {
    if (!array)
        return 0;
    auto after = machine.whole;
    after.take(spec);
    return machine.whole.slots(*array) - after.slots(*array);
}

} // namespace spindlecroft::planning
