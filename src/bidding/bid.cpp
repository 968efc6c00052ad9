#include "bidding/bid.hpp"
#include "constants.hpp"
#include <algorithm>
#include <cmath>

namespace spindlecroft::bidding {

seconds estimates::expected_run_time(const job_spec &s) const {
    seconds base = s.estimate > seconds{0} ? s.estimate : constants::default_estimate;
    auto i = factor_.find(s.job_class);
    return i == factor_.end() ? base : base * i->second;
}

void estimates::measured(const std::string &job_class, seconds estimate, seconds took) {
    if (estimate <= seconds{0} || took <= seconds{0})
        return;
    // In logarithms, so that twice too long and half too short cancel.
    auto [i, fresh] = factor_.try_emplace(job_class, 1.0);
    double ratio = std::clamp(took / estimate, 0.1, 10.0);
    i->second = std::exp((1 - constants::class_gain) * std::log(i->second) +
                         constants::class_gain * std::log(ratio));
}

} // namespace spindlecroft::bidding
