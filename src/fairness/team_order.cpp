#include "fairness/team_order.hpp"
#include "constants.hpp"
#include <algorithm>

namespace spindlecroft::fairness {

std::vector<turn> serving_order(const std::vector<waiting_job> &jobs, double slots) {
    std::vector<std::size_t> starved, order(jobs.size());
    std::vector<char> late(jobs.size());
    std::size_t aged = jobs.size();
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        auto &j = jobs[i];
        order[i] = i;
        late[i] = static_cast<char>(j.due_in.empty() || j.due_in.back() < j.longest);
        if (!j.begun && j.waited > constants::starved_after)
            starved.push_back(i);
        if (late[i] && j.waited > constants::aged_after &&
            (aged == jobs.size() || j.waited > jobs[aged].waited))
            aged = i;
    }
    std::stable_sort(starved.begin(), starved.end(),
                     [&](auto a, auto b) { return jobs[a].waited > jobs[b].waited; });
    std::stable_sort(order.begin(), order.end(), [&](auto a, auto b) {
        return late[a] != late[b] ? late[a] < late[b] : jobs[a].work < jobs[b].work;
    });
    std::vector<turn> out;
    out.reserve(starved.size() + 1 + order.size());
    for (auto i : starved)
        out.push_back({i, 1});
    if (aged < jobs.size()) {
        double share = std::max(1.0, constants::aged_share * slots) - jobs[aged].held;
        if (share >= 1)
            out.push_back({aged, static_cast<std::uint32_t>(share)});
    }
    for (auto i : order)
        out.push_back({i, all_tasks});
    return out;
}

} // namespace spindlecroft::fairness
