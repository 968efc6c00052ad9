// The users of the randomized simulation: submissions, dependencies and cancels.
#include "builders.hpp"
#include "randomized_simulation.hpp"
#include <algorithm>
#include <fmt/format.h>

namespace spindlecroft::test {

void simulation::submit(int number) {
    wire::job_record r;
    r.accepted_at = wall_clock{}.to_wall(now);
    r.spec = test::small_job(fmt::format("job-{}", number));
    r.spec.team = chance(0.35) ? "red" : "blue";
    r.spec.tasks = static_cast<std::uint32_t>(integer(1, 6));
    r.spec.cpus = integer(1, 2) * 2;
    r.spec.estimate = between(5, 30);
    if (chance(0.25)) {
        r.spec.shape = job_shape::service;
        r.spec.priority = priority_class::critical;
        r.spec.may_use_spot = false;
        r.spec.spread_across_zones = true;
        r.spec.tasks = static_cast<std::uint32_t>(integer(1, 3));
        r.spec.cpus = 2;
    }
    submitted[r.spec.id] = r.spec;
    if (chance(0.4))
        chain(r, number);
    jobs[r.spec.id] = {r, ++revision, {}};
    notify_leader(r.spec.id);
}

void simulation::chain(wire::job_record &r, int number) {
    auto &own = predecessors_of[r.spec.id];
    for (int k = integer(1, 3); k > 0 && number > 1; --k) {
        auto id = fmt::format("job-{}", integer(std::max(1, number - 8), number - 1));
        if (submitted.at(id).shape == job_shape::service ||
            std::find(own.begin(), own.end(), id) != own.end())
            continue;
        own.push_back(id);
        auto e = ended.find(id);
        if (cancel_confirmed.count(id))
            r.cancelled = true;
        else if (e == ended.end())
            r.spec.predecessors.push_back(id);
    }
    chained += !own.empty();
    if (!r.cancelled)
        return;
    r.spec.predecessors.clear();
    cancel_confirmed.insert(r.spec.id);
}

void simulation::cancel(const std::string &id) {
    auto j = jobs.find(id);
    if (j == jobs.end() || j->second.job.cancelled || now < outage_until)
        return;
    cancel_confirmed.insert(id);
    cancel_dependents(id);
    j->second.job.cancelled = true;
    j->second.job.spec.predecessors.clear();
    j->second.version = ++revision;
    j->second.cancelled_at = now;
    notify_leader(id);
}

void simulation::cancel_a_predecessor() {
    for (auto &[id, r] : jobs)
        if (!r.job.cancelled && !r.job.spec.predecessors.empty()) {
            cancel(r.job.spec.predecessors.front());
            return;
        }
}

void simulation::cancel_dependents(const std::string &id) {
    for (auto &[dependent, names] : predecessors_of)
        if (std::find(names.begin(), names.end(), id) != names.end() &&
            cancel_confirmed.insert(dependent).second) {
            ++cancelled_with;
            cancel_dependents(dependent);
        }
}

} // namespace spindlecroft::test
