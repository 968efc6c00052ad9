// The users of the randomized simulation: they submit jobs, with predecessors or without, and
// cancel jobs.
#include "builders.hpp"
#include "randomized_simulation.hpp"
#include <algorithm>
#include <fmt/format.h>

namespace spindlecroft::test {

void simulation::submit(int number) {
    wire::job_record record;
    record.accepted_at = wall_clock{}.to_wall(now);
    record.spec = test::small_job(fmt::format("job-{}", number));
    record.spec.team = chance(0.35) ? "red" : "blue";
    record.spec.tasks = static_cast<std::uint32_t>(random_integer(1, 6));
    record.spec.cpus = random_integer(1, 2) * 2;
    record.spec.estimate = random_duration(5, 30);
    if (chance(0.25)) {
        record.spec.shape = job_shape::service;
        record.spec.priority = priority_class::critical;
        record.spec.may_use_spot = false;
        record.spec.spread_across_zones = true;
        record.spec.tasks = static_cast<std::uint32_t>(random_integer(1, 3));
        record.spec.cpus = 2;
    }
    submitted[record.spec.id] = record.spec;
    if (chance(0.4))
        add_predecessors(record, number);
    jobs[record.spec.id] = {record, ++revision, {}};
    notify_leader(record.spec.id);
}

void simulation::add_predecessors(wire::job_record &record, int number) {
    auto &predecessors = predecessors_of[record.spec.id];
    for (int remaining = random_integer(1, 3); remaining > 0 && number > 1; --remaining) {
        auto id = fmt::format("job-{}", random_integer(std::max(1, number - 8), number - 1));
        if (submitted.at(id).shape == job_shape::service ||
            std::find(predecessors.begin(), predecessors.end(), id) != predecessors.end())
            continue;
        predecessors.push_back(id);
        auto ended_job = ended.find(id);
        if (cancel_confirmed.count(id))
            record.cancelled = true;
        else if (ended_job == ended.end())
            record.spec.predecessors.push_back(id);
    }
    jobs_with_predecessors += !predecessors.empty();
    if (!record.cancelled)
        return;
    record.spec.predecessors.clear();
    cancel_confirmed.insert(record.spec.id);
}

void simulation::cancel(const std::string &id) {
    auto found = jobs.find(id);
    if (found == jobs.end() || found->second.job.cancelled || now < outage_until)
        return;
    cancel_confirmed.insert(id);
    cancel_dependents(id);
    found->second.job.cancelled = true;
    found->second.job.spec.predecessors.clear();
    found->second.version = ++revision;
    found->second.cancelled_at = now;
    notify_leader(id);
}

void simulation::cancel_a_predecessor() {
    for (auto &[id, record] : jobs)
        if (!record.job.cancelled && !record.job.spec.predecessors.empty()) {
            cancel(record.job.spec.predecessors.front());
            return;
        }
}

void simulation::cancel_dependents(const std::string &id) {
    for (auto &[dependent, names] : predecessors_of)
        if (std::find(names.begin(), names.end(), id) != names.end() &&
            cancel_confirmed.insert(dependent).second) {
            ++cancelled_dependents;
            cancel_dependents(dependent);
        }
}

} // namespace spindlecroft::test
