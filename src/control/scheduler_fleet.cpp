// The scheduler's events and decisions that concern the fleet, passed on to its manager.
#include "control/scheduler.hpp"

namespace spindlecroft::control {

void scheduler::plan_fleet(time_point now) {
    std::vector<bidder> in_use; // copies: what is planned here is no bid
    for (const auto *machine : make_bidders(now))
        in_use.push_back(*machine);
    fleet_.plan(std::move(in_use), now);
}

void scheduler::check_machines(time_point now) {
    fleet_.check_machines(now);
}

std::vector<std::string> scheduler::take_deletions(time_point now) {
    return fleet_.take_deletions(now);
}

void scheduler::on_deleted(const std::vector<std::string> &machines, time_point now) {
    fleet_.on_deleted(machines, now);
}

void scheduler::on_delete_failed(const std::vector<std::string> &machines) {
    fleet_.on_delete_failed(machines);
}

void scheduler::on_types(std::vector<machine_type> types) {
    state_.set_types(std::move(types));
}

void scheduler::on_machine_list(const std::vector<listed_machine> &hosts, time_point asked_at,
                                time_point now) {
    fleet_.on_machine_list(hosts, asked_at, now);
}

std::vector<rental_request> scheduler::take_rentals(time_point now) {
    return fleet_.take_rentals(now);
}

void scheduler::on_rented(const std::string &request, const std::vector<std::string> &machines,
                          time_point now) {
    fleet_.on_rented(request, machines, now);
}

void scheduler::on_rent_refused(const std::string &request, time_point now) {
    if (fleet_.on_rent_refused(request, now))
        last_fleet_.reset(); // look for another offer at once
}

void scheduler::on_rent_unsure(const std::string &request, time_point now) {
    fleet_.on_rent_unsure(request, now);
}

} // namespace spindlecroft::control
