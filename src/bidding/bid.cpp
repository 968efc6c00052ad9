#include "bidding/bid.hpp"
#include "constants.hpp"
#include <algorithm>
#include <cmath>

namespace spindlecroft::bidding {

double estimates::expected_s(const job_spec &s) const {
    double base = s.estimate_s > 0 ? s.estimate_s : constants::default_estimate_s;
    auto i = factor_.find(s.job_class);
    return i == factor_.end() ? base : base * i->second;
}

void estimates::measured(const std::string &job_class, double estimate_s, double took_s) {
    if (estimate_s <= 0 || took_s <= 0)
        return;
    // In logarithms, so that twice too long and half too short cancel.
    auto [i, fresh] = factor_.try_emplace(job_class, 1.0);
    double ratio = std::clamp(took_s / estimate_s, 0.1, 10.0);
    i->second = std::exp((1 - constants::class_gain) * std::log(i->second) +
                         constants::class_gain * std::log(ratio));
}

int room::slots(const job_spec &s) const {
    double n = 1e6;
    constexpr double tiny = 1e-9;
    if (s.cpus > 0)
        n = std::min(n, (cpus + tiny) / s.cpus);
    if (s.gpus > 0)
        n = std::min(n, (gpus + tiny) / s.gpus);
    if (s.memory_gb > 0)
        n = std::min(n, (memory_gb + tiny) / s.memory_gb);
    return std::max(0, static_cast<int>(n));
}

offer make_bid(const workers::machine &m, const job_spec &s, const room &free, const room &whole,
               double work_s, double boot_s, double expected_s, bool image_coming, int fetches) {
    offer o;
    double speed = std::max(m.speed, constants::speed_floor);
    if (!free.fits(s))
        o.queued_s = work_s / std::max(1, whole.slots(s));
    o.queued_s += boot_s;
    if (!m.images.count(s.image) && !image_coming && m.type.fetch_gb_per_s > 0)
        o.fetch_s = s.image_gb / m.type.fetch_gb_per_s * (1 + fetches);
    o.run_s = expected_s / speed;
    return o;
}

} // namespace spindlecroft::bidding
