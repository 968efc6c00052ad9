// Zone, type and spot rules of jobs, and the retries of suspect jobs.
#include "planning/placement_rules.hpp"
#include <algorithm>
#include <cstdint>
#include <map>

namespace spindlecroft::planning {

namespace {

// Where the job's other tasks are: those presumed anywhere and those queued.
struct zone_count {
    std::map<std::string, std::uint32_t> in_zone;
    std::uint32_t unknown = 0, all = 0;

    void add(const model::cluster_state &state, const std::string &machine_name) {
        ++all;
        const auto *machine = state.find_machine(machine_name);
        // Somewhere unknown: it counts against every zone.
        if (!machine || machine->zone.empty())
            ++unknown;
        else
            ++in_zone[machine->zone];
    }
    [[nodiscard]] std::uint32_t in(const std::string &zone) const {
        auto found = in_zone.find(zone);
        return found == in_zone.end() ? 0 : found->second;
    }
};

zone_count count_zones(const model::cluster_state &state, const catalog::job &job) {
    zone_count zones;
    if (!job.spec.spread_across_zones && !job.spec.same_zone)
        return zones;
    for (const auto &[index, attempt] : job.current_attempts)
        if (attempt.phase != catalog::attempt_phase::exited)
            zones.add(state, attempt.machine);
    for (const auto &[index, machine_name] : job.queued_on)
        zones.add(state, machine_name);
    return zones;
}

bool class_allowed(const job_spec &spec, const model::machine_class &kind) {
    return type_allowed(spec, kind.type) && (!spec.zone || *spec.zone == kind.zone) &&
           (!kind.spot || spec.may_use_spot);
}

bool zone_allowed(const catalog::job &job, const zone_count &zones, const std::string &zone) {
    auto known = zones.in(zone);
    if (job.spec.same_zone && known != zones.all)
        return false;
    return !job.spec.spread_across_zones || known + zones.unknown < job.max_tasks_per_zone();
}

} // namespace

bool type_allowed(const job_spec &spec, const std::string &type) {
    return !spec.machine_types || std::find(spec.machine_types->begin(), spec.machine_types->end(),
                                            type) != spec.machine_types->end();
}

allowed_classes allowed_classes_for(const model::cluster_state &state, const catalog::job &job) {
    auto zones = count_zones(state, job);
    allowed_classes allowed;
    for (const auto &kind : state.machine_classes())
        allowed.push_back(static_cast<char>(class_allowed(job.spec, kind) &&
                                            zone_allowed(job, zones, kind.zone)));
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
