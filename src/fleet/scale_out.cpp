// Planning of rentals for replicas, spare capacity and array tasks.
#include "fleet/scale_out.hpp"
#include "constants.hpp"
#include "planning/placement_rules.hpp"
#include <algorithm>
#include <cmath>
#include <optional>

namespace spindlecroft::fleet {

using planning::bidder;

namespace {

// Whether the job's placement rules allow the machine, regardless of its free resources.
bool is_allowed_on(const bidder &machine, const job_spec &spec) {
    return (!machine.spot || spec.may_use_spot) &&
           planning::type_allowed(spec, machine.type->name) &&
           (!spec.zone || *spec.zone == machine.zone);
}

bool has_room_for_replica(const bidder &machine, const job_spec &spec) {
    return is_allowed_on(machine, spec) && machine.free_for_critical.fits(spec);
}

// Returns how many machine slots are needed so that the work starts and ends within the target.
double slots_within(const array_demand &demand, seconds target) {
    seconds average = demand.work / demand.tasks;
    return std::min(demand.tasks, std::ceil(demand.work / (target + average)));
}

// Places array tasks on the machine while they fit. Returns the number of tasks not placed.
double fill_with_tasks(bidder &machine, const job_spec &spec, double tasks) {
    for (; tasks > 0 && machine.array_capacity.fits(spec); --tasks)
        machine.array_capacity.allocate(spec);
    return tasks;
}

} // namespace

bidder make_unnamed_machine(const machine_type &type, const std::string &zone, bool spot) {
    bidder machine;
    machine.type = &type;
    machine.zone = zone;
    machine.spot = spot;
    machine.free = machine.free_for_critical =
        machine.array_capacity = {type.cpus, type.gpus, type.memory_gb};
    return machine;
}

bool scale_out::is_fleet_full(const planned_machines &planned) const {
    return planned.size() >= static_cast<std::size_t>(settings_.options.fleet_limit);
}

bidder &scale_out::rent(const planning::rental_offer &offer, planned_machines &planned,
                        time_point now) {
    offers_.add_pending(key_of(offer), 1);
    requests_.add(offer, 1, now);
    planned.push_back(make_unnamed_machine(*offer.type, offer.zone, offer.spot));
    return planned.back();
}

// --- services ---

bool scale_out::rent_for_replica(const job_spec &spec, const std::set<std::string> *zones,
                                 planned_machines &planned, time_point now) {
    if (is_fleet_full(planned))
        return false;
    auto offer = offers_.cheapest(spec, price_class::on_demand, zones, now);
    if (!offer)
        return false;
    rent(*offer, planned, now).add_task(spec, seconds{});
    return true;
}

void scale_out::plan_replicas(planned_machines &planned, time_point now) {
    for (const auto &[id, job] : state_.jobs())
        if (job.spec.shape == job_shape::service && job.waiting_tasks() > 0 &&
            now >= job.backoff_until)
            plan_replicas_of(job, planned, now);
}

scale_out::zone_counts scale_out::replicas_by_zone(const catalog::job &job) const {
    zone_counts counts;
    auto count_on = [&](const std::string &name) {
        if (const auto *machine = state_.find_machine(name))
            ++counts[machine->zone];
    };
    for (const auto &[index, attempt] : job.current_attempts)
        count_on(attempt.machine);
    for (const auto &[index, name] : job.queued_on)
        count_on(name);
    return counts;
}

std::set<std::string> scale_out::zones_open_to(const catalog::job &job,
                                               zone_counts &replicas) const {
    std::set<std::string> zones;
    for (const auto &type : state_.types())
        for (const auto &zone : type.zones)
            if (!job.spec.spread_across_zones || replicas[zone] < job.max_tasks_per_zone())
                zones.insert(zone);
    return zones;
}

void scale_out::plan_replicas_of(const catalog::job &job, planned_machines &planned,
                                 time_point now) {
    const auto &spec = job.spec;
    auto replicas = replicas_by_zone(job);
    // A suspect job is retried one task at a time.
    auto waiting = state_.failures().is_suspect(spec.id) ? 1 : job.waiting_tasks();
    for (std::uint32_t planned_replicas = 0; planned_replicas < waiting; ++planned_replicas) {
        auto host = std::find_if(planned.begin(), planned.end(), [&](const bidder &machine) {
            bool is_zone_full =
                spec.spread_across_zones && replicas[machine.zone] >= job.max_tasks_per_zone();
            return !is_zone_full && has_room_for_replica(machine, spec);
        });
        if (host != planned.end()) {
            host->add_task(spec, seconds{});
            ++replicas[host->zone];
            continue;
        }
        auto zones = zones_open_to(job, replicas);
        if (!rent_for_replica(spec, &zones, planned, now))
            break;
        ++replicas[planned.back().zone];
    }
}

// --- spare capacity ---

std::set<std::string> scale_out::plan_spare_capacity(planned_machines &planned, time_point now) {
    std::set<std::string> spare;
    for (const auto &[job_class, recent] : state_.recent_services())
        if (now - recent.seen_at <= constants::service_class_retention)
            plan_spare_replicas(recent.spec, planned, spare, now);
    return spare;
}

void scale_out::plan_spare_replicas(const job_spec &spec, planned_machines &planned,
                                    std::set<std::string> &spare, time_point now) {
    std::map<std::string, int> spare_by_zone;
    for (int count = 0; count < settings_.options.spare_replicas; ++count) {
        auto *machine = find_spare_machine(spec, planned, spare_by_zone);
        if (machine) {
            machine->add_task(spec, seconds{});
            ++spare_by_zone[machine->zone];
            if (machine->machine)
                spare.insert(machine->machine->name);
        } else if (!rent_for_replica(spec, nullptr, planned, now)) {
            break;
        }
    }
}

bidder *scale_out::find_spare_machine(const job_spec &spec, planned_machines &planned,
                                      std::map<std::string, int> &spare_by_zone) const {
    // Spare replicas of a class with spread are distributed over the zones. Otherwise the machine
    // on which the fewest array tasks are displaced is preferred.
    auto is_better = [&](const bidder &machine, const bidder &best) {
        int machine_count = spare_by_zone[machine.zone], best_count = spare_by_zone[best.zone];
        if (spec.spread_across_zones && machine_count != best_count)
            return machine_count < best_count;
        return planning::displaced_slots(machine, spec, state_.latest_array()) <
               planning::displaced_slots(best, spec, state_.latest_array());
    };
    bidder *best = nullptr;
    for (auto &machine : planned)
        if (has_room_for_replica(machine, spec) && (!best || is_better(machine, *best)))
            best = &machine;
    return best;
}

// --- arrays ---

void scale_out::plan_array_work(planned_machines &planned, time_point now) {
    for (const auto &demand : collect_array_demand(state_, settings_, now))
        plan_array_demand(demand, planned, now);
}

void scale_out::plan_array_demand(const array_demand &demand, planned_machines &planned,
                                  time_point now) {
    const auto &spec = *demand.spec;
    bool may_use_spot = spec.may_use_spot && settings_.options.may_rent_spot;
    double needed = slots_within(demand, settings_.options.drain_target);
    // Work that may use spot instances waits longer before on-demand machines are rented, in
    // proportion to their higher price.
    double deferrable = needed - slots_within(demand, settings_.options.drain_target *
                                                          offers_.on_demand_wait_ratio(spec));
    for (auto &machine : planned)
        if (is_allowed_on(machine, spec))
            needed = fill_with_tasks(machine, spec, needed);
    // Bounded here as well, since a job of 100,000 tasks would request thousands of machines.
    while (needed > 0 && !is_fleet_full(planned)) {
        std::optional<planning::rental_offer> offer;
        if (may_use_spot)
            offer = offers_.cheapest(spec, price_class::spot, nullptr, now);
        if (!offer) {
            if (may_use_spot && needed <= deferrable)
                break;
            offer = offers_.cheapest(spec, price_class::on_demand, nullptr, now);
        }
        if (!offer)
            break;
        needed = fill_with_tasks(rent(*offer, planned, now), spec, needed);
    }
}

} // namespace spindlecroft::fleet
