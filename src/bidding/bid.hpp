// The bids of the paper's scheduler: queued work + image fetch + run time.
#pragma once
#include "common/time.hpp"
#include "constants.hpp"
#include "wire/types.hpp"
#include <algorithm>
#include <map>
#include <optional>
#include <string>

namespace spindlecroft::bidding {

// How owners' estimates of a class compare with what was measured.
class estimates {
  public:
    seconds expected_run_time(const job_spec &s) const;
    void measured(const std::string &job_class, seconds estimate, seconds took);

  private:
    std::map<std::string, double> factor_;
};

struct room {
    double cpus = 0, gpus = 0, memory_gb = 0;
    bool fits(const job_spec &s) const {
        constexpr double tiny = 1e-9; // amounts are decimal, sums of them are not exact
        return s.cpus <= cpus + tiny && s.gpus <= gpus + tiny && s.memory_gb <= memory_gb + tiny;
    }
    void take(const job_spec &s) {
        cpus -= s.cpus;
        gpus -= s.gpus;
        memory_gb -= s.memory_gb;
    }
    void give(const job_spec &s) {
        cpus += s.cpus;
        gpus += s.gpus;
        memory_gb += s.memory_gb;
    }
    // How many such tasks fit at once.
    int slots(const job_spec &s) const {
        constexpr double tiny = 1e-9;
        double n = 1e6;
        if (s.cpus > 0)
            n = std::min(n, (cpus + tiny) / s.cpus);
        if (s.gpus > 0)
            n = std::min(n, (gpus + tiny) / s.gpus);
        if (s.memory_gb > 0)
            n = std::min(n, (memory_gb + tiny) / s.memory_gb);
        return std::max(0, static_cast<int>(n));
    }
};

struct offer {
    seconds queue_time{};
    seconds fetch_time{};
    seconds run_time{};
    seconds finish_time() const { return queue_time + fetch_time + run_time; }
};

// What one machine bids for a task.
// free: room that no present or queued task holds; whole: room for tasks that come and go;
// work: remaining and queued run time of such tasks; boot_time: until the machine is up.
// has_image: cached there, or on its way for another task.
inline offer make_bid(double speed, double fetch_gb_per_s, const job_spec &s, const room &free,
                      const room &whole, seconds work, seconds boot_time, seconds expected_run_time,
                      bool has_image, int fetches) {
    offer o;
    if (!free.fits(s))
        o.queue_time = work / std::max(1, whole.slots(s));
    o.queue_time += boot_time;
    if (!has_image && fetch_gb_per_s > 0)
        o.fetch_time = seconds{s.image_gb / fetch_gb_per_s * (1 + fetches)};
    o.run_time = expected_run_time / std::max(speed, constants::speed_floor);
    return o;
}

} // namespace spindlecroft::bidding
