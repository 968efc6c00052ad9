// One machine in a round of bids, or one that is about to be rented.
#pragma once
#include "bidding/bid.hpp"
#include "common/time.hpp"
#include "workers/machine.hpp"
#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace spindlecroft::planning {

struct bidder {
    workers::machine *m = nullptr; // null: rented, not yet named
    const machine_type *type = nullptr;
    std::string zone;
    bool spot = false;
    std::size_t place = 0;    // number of its type, zone and kind
    bidding::room free;       // not held by any present or queued task
    bidding::room critical;   // the same, work of lower priority than critical left out
    bidding::room above_idle; // the same, work of the lowest priority left out
    bidding::room whole;      // what services leave to work that comes and goes
    seconds work{};           // remaining and queued run time of that work
    seconds boot_time{};      // until it is up
    std::optional<time_point> refreshed_at; // s
    int fetches = 0;
    std::uint32_t version = 0; // grows with what it holds
    std::size_t number = 0;    // its position in the round; of equal bids the first wins
    std::vector<std::uint32_t> cached, coming; // numbers of images: there, and being fetched

    static bool holds(const std::vector<std::uint32_t> &list, std::uint32_t image) {
        return std::find(list.begin(), list.end(), image) != list.end();
    }
    void hold(const job_spec &s, seconds remaining);
    bool fetch(std::uint32_t image); // false: it is there or coming already
};

// The job may run on machines of this type.
bool type_allowed(const job_spec &spec, const std::string &type);

// How many tasks like `array` lose their room on the machine if it takes a task of `spec`.
int displaced_slots(const bidder &machine, const job_spec &spec,
                    const std::optional<job_spec> &array);

struct round_bid {
    bidder *by = nullptr;
    seconds finish_time{};
    seconds queue_time{};
    std::uint32_t version = 0; // of the bidder when it bid
    // For a heap with the best bid on top.
    bool operator<(const round_bid &o) const {
        return finish_time != o.finish_time ? finish_time > o.finish_time
                                            : by->number > o.by->number;
    }
};

// A round of bids. At full size thousands of tasks bid among thousands of machines: a job keeps the
// machines' bids, and only what a placement changed is worked out anew.
struct bid_round {
    std::vector<bidder *> bidders;
    struct book {
        std::vector<round_bid> heap;
        std::size_t fetching_seen = 0;
    };
    std::map<std::string, book> books; // by job
    // Machines that began to fetch an image in this round: their bids for it fell.
    std::map<std::uint32_t, std::vector<bidder *>> fetching;
    // Needs for which no machine bids any more, with the places that are allowed.
    using need = std::tuple<double, double, double, bool, bool, std::vector<char>>;
    std::set<need> full;
    // Running work of arrays by the time of its placement, for whoever has to make way.
    bool victims_known = false;
    std::vector<std::pair<time_point, catalog::task_ref>> victims; // the latest first
};

struct rental_offer {
    const machine_type *type = nullptr;
    std::string zone;
    bool spot = false;
    int slots = 0;
    double price_per_slot = 0;
};

} // namespace spindlecroft::planning
