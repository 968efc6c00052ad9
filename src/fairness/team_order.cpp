#include "fairness/team_order.hpp"
#include <algorithm>

namespace spindlecroft::fairness {

std::vector<std::size_t> serving_order(const std::vector<waiting_job> &jobs, double slots) {
    slots = std::max(1.0, slots);
    std::vector<std::size_t> by_due(jobs.size());
    for (std::size_t i = 0; i < jobs.size(); ++i)
        by_due[i] = i;
    std::stable_sort(by_due.begin(), by_due.end(),
                     [&](auto a, auto b) { return jobs[a].due_in_s < jobs[b].due_in_s; });
    std::vector<std::size_t> kept, late;
    double busy_s = 0;
    for (auto i : by_due) {
        if (jobs[i].longest_s > jobs[i].due_in_s) {
            late.push_back(i); // too late whatever we do
            continue;
        }
        kept.push_back(i);
        busy_s += jobs[i].work_s / slots;
        if (std::max(busy_s, jobs[i].longest_s) <= jobs[i].due_in_s)
            continue;
        auto largest = std::max_element(kept.begin(), kept.end(), [&](auto a, auto b) {
            return jobs[a].work_s < jobs[b].work_s;
        });
        busy_s -= jobs[*largest].work_s / slots;
        late.push_back(*largest);
        kept.erase(largest);
    }
    std::stable_sort(late.begin(), late.end(),
                     [&](auto a, auto b) { return jobs[a].work_s < jobs[b].work_s; });
    kept.insert(kept.end(), late.begin(), late.end());
    return kept;
}

} // namespace spindlecroft::fairness
