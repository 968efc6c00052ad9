#include "fairness/team_order.hpp"
#include "constants.hpp"
#include <algorithm>

namespace spindlecroft::fairness {

std::vector<std::size_t> serving_order(const std::vector<waiting_job> &jobs, double slots) {
    slots = std::max(1.0, slots);
    std::vector<std::size_t> by_due(jobs.size());
    for (std::size_t i = 0; i < jobs.size(); ++i)
        by_due[i] = i;
    std::stable_sort(by_due.begin(), by_due.end(),
                     [&](auto a, auto b) { return jobs[a].due_in_s < jobs[b].due_in_s; });
    std::vector<std::size_t> starved, kept, late;
    double busy_s = 0;
    for (auto i : by_due) {
        if (!jobs[i].begun && jobs[i].waited_s > constants::starved_s) {
            starved.push_back(i);
            continue;
        }
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
    auto overdue = [&](auto i) { return jobs[i].due_in_s < -constants::overdue_s; };
    std::stable_sort(late.begin(), late.end(), [&](auto a, auto b) {
        if (overdue(a) != overdue(b))
            return overdue(a);
        return overdue(a) ? jobs[a].waited_s > jobs[b].waited_s : jobs[a].work_s < jobs[b].work_s;
    });
    std::stable_sort(starved.begin(), starved.end(),
                     [&](auto a, auto b) { return jobs[a].waited_s > jobs[b].waited_s; });
    starved.insert(starved.end(), kept.begin(), kept.end());
    starved.insert(starved.end(), late.begin(), late.end());
    return starved;
}

} // namespace spindlecroft::fairness
