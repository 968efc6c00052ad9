// A kind of machine that could be rented for waiting work, and what it costs.
#pragma once
#include "wire/types.hpp"
#include <string>

namespace spindlecroft::planning {

struct rental_offer {
    const machine_type *type = nullptr;
    std::string zone;
    bool spot = false;
    int slots = 0; // tasks of the kind in question that run there at once
    double price_per_slot = 0;
};

} // namespace spindlecroft::planning
