// The bids of the scheduler: queued work + image fetch + run time, after "Distributed Data
// Locality-Aware Job Allocation", section 5 and page 2 (docs/design.md has the table).
#pragma once
#include "common/time.hpp"
#include "constants.hpp"
#include "wire/types.hpp"
#include <algorithm>
#include <map>
#include <string>

namespace spindlecroft::bidding {

/// Corrects the job owners' estimates of run times by the ratio of measured to estimated run times,
/// separately for each class of jobs.
class run_time_estimator {
  public:
    /// Returns the owner's estimate, or the default if there is none, times the factor of the job's
    /// class.
    [[nodiscard]] seconds expected_run_time(const job_spec &spec) const;
    /// Adds the measured run time of a task that ended. Ignored unless both times are positive.
    void add_measurement(const std::string &job_class, seconds estimate, seconds measured);

  private:
    std::map<std::string, double> factor_; // measured / estimated run time, by class
};

/// Amounts of the resources that a machine has in total or has left.
struct resources {
    double cpus = 0;
    double gpus = 0;
    double memory_gb = 0;

    /// Returns whether one task fits.
    [[nodiscard]] bool fits(const job_spec &spec) const {
        constexpr double tolerance = constants::resource_tolerance;
        return spec.cpus <= cpus + tolerance && spec.gpus <= gpus + tolerance &&
               spec.memory_gb <= memory_gb + tolerance;
    }
    /// Subtracts the requirements of one task.
    void allocate(const job_spec &spec) {
        cpus -= spec.cpus;
        gpus -= spec.gpus;
        memory_gb -= spec.memory_gb;
    }
    /// Adds the requirements of one task.
    void release(const job_spec &spec) {
        cpus += spec.cpus;
        gpus += spec.gpus;
        memory_gb += spec.memory_gb;
    }
    /// Returns how many such tasks fit at once.
    [[nodiscard]] int slots(const job_spec &spec) const {
        constexpr double tolerance = constants::resource_tolerance;
        constexpr double unbounded = 1e6; // for a task without requirements
        double tasks = unbounded;
        if (spec.cpus > 0)
            tasks = std::min(tasks, (cpus + tolerance) / spec.cpus);
        if (spec.gpus > 0)
            tasks = std::min(tasks, (gpus + tolerance) / spec.gpus);
        if (spec.memory_gb > 0)
            tasks = std::min(tasks, (memory_gb + tolerance) / spec.memory_gb);
        return std::max(0, static_cast<int>(tasks));
    }
};

/// A machine's bid for one task. The lowest finish time wins.
struct bid {
    seconds queue_time{}; // until the task could start
    seconds fetch_time{}; // of its image, 0 if the machine has it
    seconds run_time{};
    [[nodiscard]] seconds finish_time() const { return queue_time + fetch_time + run_time; }
};

/// The properties of a machine and of the task's job that a bid is computed from.
struct bid_input {
    /// Speed of the machine; at 1, tasks run as long as estimated.
    double speed = 1;
    /// Rate at which the machine fetches images.
    double fetch_gb_per_s = 0;
    /// Resources that no placed or queued task holds.
    resources free;
    /// Resources that array tasks may use, whether tasks hold them or not.
    resources array_capacity;
    /// Remaining run time of the placed and queued array tasks.
    seconds backlog{};
    /// Time until the machine is up.
    seconds boot_time{};
    /// Run time of the task at speed 1.
    seconds expected_run_time{};
    /// Whether the image is cached or being fetched for another task.
    bool has_image = false;
    /// Number of other images being fetched, which share the rate.
    int pending_fetches = 0;
};

/// Returns the queue, fetch and run time of one task of the job on the machine.
[[nodiscard]] inline bid make_bid(const job_spec &spec, const bid_input &input) {
    bid result;
    if (!input.free.fits(spec))
        result.queue_time = input.backlog / std::max(1, input.array_capacity.slots(spec));
    result.queue_time += input.boot_time;
    if (!input.has_image && input.fetch_gb_per_s > 0)
        result.fetch_time =
            seconds{spec.image_gb / input.fetch_gb_per_s * (1 + input.pending_fetches)};
    result.run_time = input.expected_run_time / std::max(input.speed, constants::min_speed);
    return result;
}

/// Overload that takes the members of bid_input as arguments.
[[nodiscard]] inline bid make_bid(double speed, double fetch_gb_per_s, const job_spec &spec,
                                  const resources &free, const resources &array_capacity,
                                  seconds backlog, seconds boot_time, seconds expected_run_time,
                                  bool has_image, int pending_fetches) {
    return make_bid(spec, {speed, fetch_gb_per_s, free, array_capacity, backlog, boot_time,
                           expected_run_time, has_image, pending_fetches});
}

} // namespace spindlecroft::bidding
