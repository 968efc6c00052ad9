// The bids of the paper's scheduler: queued work + image fetch + run time.
#pragma once
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
    double expected_s(const job_spec &s) const;
    void measured(const std::string &job_class, double estimate_s, double took_s);

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
    double queued_s = 0, fetch_s = 0, run_s = 0;
    double finish_s() const { return queued_s + fetch_s + run_s; }
};

// What one machine bids for a task.
// free: room that no present or queued task holds; whole: room for tasks that come and go;
// work_s: remaining and queued run time of such tasks; boot_s: time until the machine is up.
// has_image: cached there, or on its way for another task.
inline offer make_bid(double speed, double fetch_gb_per_s, const job_spec &s, const room &free,
                      const room &whole, double work_s, double boot_s, double expected_s,
                      bool has_image, int fetches) {
    offer o;
    if (!free.fits(s))
        o.queued_s = work_s / std::max(1, whole.slots(s));
    o.queued_s += boot_s;
    if (!has_image && fetch_gb_per_s > 0)
        o.fetch_s = s.image_gb / fetch_gb_per_s * (1 + fetches);
    o.run_s = expected_s / std::max(speed, constants::speed_floor);
    return o;
}

} // namespace spindlecroft::bidding
