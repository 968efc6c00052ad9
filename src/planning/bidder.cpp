// Updates of a bidder when tasks and image fetches are added.
#include "planning/bidder.hpp"

namespace spindlecroft::planning {

void bidder::add_task(const job_spec &spec, seconds remaining) {
    free.allocate(spec);
    if (spec.shape == job_shape::service) {
        array_capacity.allocate(spec);
    } else {
        backlog += remaining;
    }
    if (spec.priority == priority_class::critical)
        free_for_critical.allocate(spec);
    if (spec.priority != priority_class::low)
        free_above_low.allocate(spec);
}

bool bidder::add_fetch(std::uint32_t image) {
    if (has_image(image))
        return false;
    fetching_images.push_back(image);
    ++pending_fetches;
    return true;
}

int displaced_slots(const bidder &machine, const job_spec &spec,
                    const std::optional<job_spec> &array) {
    if (!array)
        return 0;
    auto after = machine.array_capacity;
    after.allocate(spec);
    return machine.array_capacity.slots(*array) - after.slots(*array);
}

} // namespace spindlecroft::planning
