// A machine's resources, queued work and images as its bids see them.
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

/// A machine that bids for tasks: one in use, or one that is requested or planned to be rented.
struct bidder {
    /// Null for a rented machine that the cloud has not named yet.
    workers::machine *machine = nullptr;
    const machine_type *type = nullptr;
    std::string zone;
    bool spot = false;
    /// Index in cluster_state::machine_classes().
    std::size_t machine_class = 0;
    /// Resources that no placed or queued task holds.
    bidding::resources free;
    /// Resources that no task of critical priority holds.
    bidding::resources free_for_critical;
    /// Resources that no task above low priority holds.
    bidding::resources free_above_low;
    /// Resources that no service holds: array tasks may use them.
    bidding::resources array_capacity;
    /// Remaining run time of the placed and queued array tasks.
    seconds backlog{};
    /// Time until the machine is up.
    seconds boot_time{};
    std::optional<time_point> refreshed_at;
    /// Number of images that are being fetched or will be for queued tasks.
    int pending_fetches = 0;
    /// Grows with every task that is added within a round.
    std::uint32_t version = 0;
    /// Position in the round: the first of several equal bids wins.
    std::size_t position = 0;
    /// Numbers of the images that are cached and of those that are being fetched.
    std::vector<std::uint32_t> cached_images, fetching_images;

    [[nodiscard]] static bool contains(const std::vector<std::uint32_t> &list,
                                       std::uint32_t image) {
        return std::find(list.begin(), list.end(), image) != list.end();
    }
    /// Whether the image is cached or being fetched, so that a further task need not fetch it.
    [[nodiscard]] bool has_image(std::uint32_t image) const {
        return contains(cached_images, image) || contains(fetching_images, image);
    }
    /// Adds a placed or queued task with this remaining run time.
    void add_task(const job_spec &spec, seconds remaining);
    /// Adds a fetch of the image. Returns false if the image is cached or being fetched already.
    bool add_fetch(std::uint32_t image);
};

/// Returns how many tasks like `array` lose their slot on the machine if it takes a task of `spec`.
[[nodiscard]] int displaced_slots(const bidder &machine, const job_spec &spec,
                                  const std::optional<job_spec> &array);

} // namespace spindlecroft::planning
