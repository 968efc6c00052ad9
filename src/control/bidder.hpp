// One machine in a round of bids, or one that is about to be rented.
#pragma once
#include "bidding/bid.hpp"
#include "workers/machine.hpp"
#include <algorithm>
#include <string>
#include <vector>

namespace spindlecroft::control {

struct bidder {
    workers::machine *m = nullptr; // null: rented, not yet named
    const machine_type *type = nullptr;
    std::string zone;
    bool spot = false;
    std::size_t place = 0;      // number of its type, zone and kind
    bidding::room free;         // not held by any present or queued task
    bidding::room critical;     // the same, work of lower rank than critical left out
    bidding::room whole;        // what services leave to work that comes and goes
    double work_s = 0;          // remaining and queued run time of that work
    double boot_s = 0;          // until it is up
    double refreshed_at = -1e9; // s
    int fetches = 0;
    std::vector<std::uint32_t> cached, coming; // numbers of images: there, and being fetched

    static bool holds(const std::vector<std::uint32_t> &list, std::uint32_t image) {
        return std::find(list.begin(), list.end(), image) != list.end();
    }
    void hold(const job_spec &s, double remaining_s);
    void fetch(std::uint32_t image);
};

struct rental_offer {
    const machine_type *type = nullptr;
    std::string zone;
    bool spot = false;
    int slots = 0;
    double price_per_slot = 0;
};

} // namespace spindlecroft::control
