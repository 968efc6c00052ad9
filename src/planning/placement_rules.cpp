// Applies the zone, type and spot rules of jobs, and the retry rule of suspect jobs.
#include "planning/placement_rules.hpp"
#include <algorithm>
#include <cstdint>
#include <map>

namespace spindlecroft::planning {

namespace {

// Numbers of the job's other tasks by zone: those that may be on a machine and those in a queue.
struct zone_counts {
    std::map<std::string, std::uint32_t> by_zone;
    std::uint32_t unknown = 0, total = 0;

    void add(const model::cluster_state &state, const std::string &machine_name) {
        ++total;
        const auto *machine = state.find_machine(machine_name);
        // A task in an unknown zone counts against every zone.
        if (!machine || machine->zone.empty())
            ++unknown;
        else
            ++by_zone[machine->zone];
    }
    [[nodiscard]] std::uint32_t in(const std::string &zone) const {
        auto found = by_zone.find(zone);
        return found == by_zone.end() ? 0 : found->second;
    }
};

zone_counts count_zones(const model::cluster_state &state, const catalog::job &job) {
    zone_counts zones;
    if (!job.spec.spread_across_zones && !job.spec.same_zone)
        return zones;
    for (const auto &[index, attempt] : job.current_attempts)
        if (attempt.phase != catalog::attempt_phase::exited)
            zones.add(state, attempt.machine);
    for (const auto &[index, machine_name] : job.queued_on)
        zones.add(state, machine_name);
    return zones;
}

bool class_allowed(const job_spec &spec, const model::machine_class &candidate) {
    return type_allowed(spec, candidate.type) && (!spec.zone || *spec.zone == candidate.zone) &&
           (!candidate.spot || spec.may_use_spot);
}

bool zone_allowed(const catalog::job &job, const zone_counts &zones, const std::string &zone) {
    auto in_this_zone = zones.in(zone);
    if (job.spec.same_zone && in_this_zone != zones.total)
        return false;
    return !job.spec.spread_across_zones || in_this_zone + zones.unknown < job.max_tasks_per_zone();
}

} // namespace

bool type_allowed(const job_spec &spec, const std::string &type) {
    return !spec.machine_types || std::find(spec.machine_types->begin(), spec.machine_types->end(),
                                            type) != spec.machine_types->end();
}

allowed_classes allowed_classes_for(const model::cluster_state &state, const catalog::job &job) {
    auto zones = count_zones(state, job);
    allowed_classes allowed;
    for (const auto &candidate : state.machine_classes())
        allowed.push_back(static_cast<char>(class_allowed(job.spec, candidate) &&
                                            zone_allowed(job, zones, candidate.zone)));
    return allowed;
}

bool may_place(const model::cluster_state &state, const catalog::job &job, time_point now) {
    if (job.waiting_tasks() == 0 || now < job.backoff_until)
        return false;
    const auto &failures = state.failures();
    if (!failures.is_suspect(job.spec.id))
        return true;
    return now >= failures.retry_at(job.spec.id) && job.queued_on.empty() &&
           job.current_attempts.empty();
}

} // namespace spindlecroft::planning
