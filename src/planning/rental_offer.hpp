// A machine type, zone and market in which a machine could be rented, with its price.
#pragma once
#include "wire/types.hpp"
#include <string>

namespace spindlecroft::planning {

/// A machine that could be rented for waiting tasks of one job.
struct rental_offer {
    const machine_type *type = nullptr;
    std::string zone;
    bool spot = false;
    /// Number of the job's tasks that the machine runs at once.
    int slots = 0;
    /// Price per hour and slot, increased in proportion to the boot time of the type.
    double price_per_slot = 0;
};

} // namespace spindlecroft::planning
