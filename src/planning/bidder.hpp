// One machine in a round of bids, or one that is about to be rented.
#pragma once
#include "bidding/bid.hpp"
#include "common/time.hpp"
#include "workers/machine.hpp"
#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace spindlecroft::planning {

struct bidder {
    workers::machine *machine = nullptr; // null: rented, not yet named
    const machine_type *type = nullptr;
    std::string zone;
    bool spot = false;
    std::size_t machine_class = 0;        // index in cluster_state::machine_classes()
    bidding::resources free;              // not held by any present or queued task
    bidding::resources free_for_critical; // the same, work of lower priority than critical left out
    bidding::resources free_above_low;    // the same, work of the lowest priority left out
    bidding::resources array_capacity;    // what services leave to work that comes and goes
    seconds backlog{};                    // remaining and queued run time of that work
    seconds boot_time{};                  // until it is up
    std::optional<time_point> refreshed_at;
    int pending_fetches = 0;   // images on their way
    std::uint32_t version = 0; // grows with what it holds
    std::size_t position = 0;  // its position in the round; of equal bids the first wins
    std::vector<std::uint32_t> cached_images,
        fetching_images; // numbers of images: there, and being fetched

    [[nodiscard]] static bool contains(const std::vector<std::uint32_t> &list,
                                       std::uint32_t image) {
        return std::find(list.begin(), list.end(), image) != list.end();
    }
    // The image is there or on its way: a task that needs it does not fetch it again.
    [[nodiscard]] bool has_image(std::uint32_t image) const {
        return contains(cached_images, image) || contains(fetching_images, image);
    }
    // Counts a present or queued task with so much run time left.
    void add_task(const job_spec &spec, seconds remaining);
    // The image is needed there. False: it is there or coming already.
    bool add_fetch(std::uint32_t image);
};

// How many tasks like `array` lose their slot on the machine if it takes a task of `spec`.
[[nodiscard]] int displaced_slots(const bidder &machine, const job_spec &spec,
                                  const std::optional<job_spec> &array);

} // namespace spindlecroft::planning
