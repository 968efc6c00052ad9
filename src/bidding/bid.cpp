#include "bidding/bid.hpp"
#include <cmath>

namespace spindlecroft::bidding {

seconds run_time_estimator::expected_run_time(const job_spec &spec) const {
    seconds base =
        spec.estimate > seconds{0} ? spec.estimate : constants::default_run_time_estimate;
    auto factor = factor_.find(spec.job_class);
    return factor == factor_.end() ? base : base * factor->second;
}

void run_time_estimator::add_measurement(const std::string &job_class, seconds estimate,
                                         seconds measured) {
    if (estimate <= seconds{0} || measured <= seconds{0})
        return;
    // Bounds the effect of a single outlier on the factor of its class.
    constexpr double least_ratio = 0.1;
    constexpr double largest_ratio = 10.0;
    double &factor = factor_.try_emplace(job_class, 1.0).first->second;
    double ratio = std::clamp(measured / estimate, least_ratio, largest_ratio);
    // The average is taken over logarithms, so that ratios of 2 and 1/2 cancel.
    factor = std::exp((1 - constants::class_sample_weight) * std::log(factor) +
                      constants::class_sample_weight * std::log(ratio));
}

} // namespace spindlecroft::bidding
