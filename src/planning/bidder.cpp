// What a machine's figures become with each task it takes.
#include "planning/bidder.hpp"

namespace spindlecroft::planning {

void bidder::hold(const job_spec &spec, seconds remaining) {
    free.take(spec);
    if (spec.shape == job_shape::service) {
        whole.take(spec);
    } else {
        work += remaining;
    }
    if (spec.priority == priority_class::critical)
        critical.take(spec);
    if (spec.priority != priority_class::low)
        above_idle.take(spec);
}

bool bidder::fetch(std::uint32_t image) {
    if (has_image(image))
        return false;
    coming.push_back(image);
    ++fetches;
    return true;
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
