// The bids of the paper's scheduler: queued work + image fetch + run time ("Distributed Data
// Locality-Aware Job Allocation", section 5 and page 2; docs/design.md has the table).
#pragma once
#include "common/time.hpp"
#include "constants.hpp"
#include "wire/types.hpp"
#include <algorithm>
#include <map>
#include <string>

namespace spindlecroft::bidding {

/// How owners' estimates of run times compare with what was measured, for each class of jobs.
class run_time_estimator {
  public:
    /// The owner's estimate, or the default without one, corrected by the factor of its class.
    [[nodiscard]] seconds expected_run_time(const job_spec &spec) const;
    /// Takes in the run time of a task that ended. Passed over where either time is not positive.
    void add_measurement(const std::string &job_class, seconds estimate, seconds took);

  private:
    std::map<std::string, double> factor_; // by class: measured over estimated
};

/// Amounts of what a machine has, or has left.
struct resources {
    double cpus = 0;
    double gpus = 0;
    double memory_gb = 0;

    [[nodiscard]] bool fits(const job_spec &spec) const {
        constexpr double tolerance = constants::resource_tolerance;
        return spec.cpus <= cpus + tolerance && spec.gpus <= gpus + tolerance &&
               spec.memory_gb <= memory_gb + tolerance;
    }
    /// Takes away what one task needs.
    void allocate(const job_spec &spec) {
        cpus -= spec.cpus;
        gpus -= spec.gpus;
        memory_gb -= spec.memory_gb;
    }
    /// Adds what one task needs.
    void release(const job_spec &spec) {
        cpus += spec.cpus;
        gpus += spec.gpus;
        memory_gb += spec.memory_gb;
    }
    /// How many such tasks fit at once.
    [[nodiscard]] int slots(const job_spec &spec) const {
        constexpr double tolerance = constants::resource_tolerance;
        constexpr double unbounded = 1e6; // for a task that needs nothing
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

/// Former name of resources, until src/control has moved.
using room = resources;

/// A machine's bid for one task. The lowest finish time wins.
struct bid {
    seconds queue_time{}; // until the task could begin
    seconds fetch_time{}; // for its image, where that is not at hand
    seconds run_time{};
    [[nodiscard]] seconds finish_time() const { return queue_time + fetch_time + run_time; }
};

/// What a machine knows when it bids for a task.
struct bid_input {
    double speed = 1;            // of the machine; 1: as fast as estimates assume
    double fetch_gb_per_s = 0;   // rate at which it fetches images
    resources free;              // held by no present or queued task
    resources array_capacity;    // what tasks that come and go may use, held or not
    seconds backlog{};           // remaining and queued run time of such tasks
    seconds boot_time{};         // until the machine is up
    seconds expected_run_time{}; // of the task, at speed 1
    bool has_image = false;      // cached there, or on its way for another task
    int pending_fetches = 0;     // other images on their way, which share the rate
};

/// Queue, fetch and run time of one task of the job on the machine.
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

/// The same, as src/control still calls it.
[[nodiscard]] inline bid make_bid(double speed, double fetch_gb_per_s, const job_spec &spec,
                                  const resources &free, const resources &array_capacity,
                                  seconds backlog, seconds boot_time, seconds expected_run_time,
                                  bool has_image, int pending_fetches) {
    return make_bid(spec, {speed, fetch_gb_per_s, free, array_capacity, backlog, boot_time,
                           expected_run_time, has_image, pending_fetches});
}

} // namespace spindlecroft::bidding
