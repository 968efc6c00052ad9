// One machine in a round of bids, or one that is about to be rented.
#pragma once
#include "control/engine.hpp"

namespace spindlecroft::control {

struct engine::bidder {
    workers::machine *m = nullptr; // null: rented, not yet named
    machine_type type;
    std::string name, zone;
    bool spot = false;
    bidding::room free;     // not held by any present or queued task
    bidding::room critical; // the same, work of lower rank than critical left out
    bidding::room whole;    // what services leave to work that comes and goes
    double work_s = 0;      // remaining and queued run time of that work
    double boot_s = 0;      // until it is up
    int fetches = 0;
    std::set<std::string> coming; // images being fetched
    void hold(const job_spec &s, double remaining_s);
};

struct engine::rental_offer {
    machine_type type;
    std::string zone;
    bool spot = false;
    int slots = 0;
    double price_per_slot = 0;
};

} // namespace spindlecroft::control
