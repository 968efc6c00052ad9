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

} // namespace spindlecroft::bidding
