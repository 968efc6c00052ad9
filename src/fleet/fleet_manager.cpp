// Connections between the parts of fleet management.
#include "fleet/fleet_manager.hpp"
#include "fleet/machine_list.hpp"

namespace spindlecroft::fleet {

fleet_manager::fleet_manager(const settings::settings &settings, model::cluster_state &state,
                             std::size_t record_bytes)
    : settings_(settings), state_(state), offers_(state), requests_(state, record_bytes),
      scale_out_(settings, state, offers_, requests_), scale_in_(state), health_(settings, state) {}

void fleet_manager::plan(std::vector<planning::bidder> in_use, time_point now) {
    planned_machines planned = std::move(in_use);
    add_requested_machines(planned);
    scale_out_.plan_replicas(planned, now);
    auto spare = scale_out_.plan_spare_capacity(planned, now);
    scale_out_.plan_array_work(planned, now);
    scale_in_.delete_idle(spare, now);
}

void fleet_manager::add_requested_machines(planned_machines &planned) {
    offers_.clear_pending();
    requests_.for_each_unanswered([&](const rental_request &request) {
        offers_.add_pending(key_of(request), request.count);
        const auto *type = state_.find_type(request.type);
        if (!type)
            return;
        for (int count = 0; count < request.count; ++count)
            planned.push_back(make_unnamed_machine(*type, request.zone, request.spot));
    });
}

void fleet_manager::on_rented(const std::string &request, const std::vector<std::string> &machines,
                              time_point now) {
    auto rented = requests_.on_rented(request, machines, now);
    if (!rented)
        return;
    if (static_cast<int>(machines.size()) < rented->count)
        offers_.note_refused(key_of(*rented), now);
    else
        offers_.note_fulfilled(key_of(*rented));
    state_.request_planning();
}

bool fleet_manager::on_rent_refused(const std::string &request, time_point now) {
    auto refused = requests_.on_refused(request);
    if (!refused)
        return false;
    offers_.note_refused(key_of(*refused), now);
    return true;
}

void fleet_manager::on_machine_list(const std::vector<listed_machine> &machines,
                                    time_point requested_at, time_point now) {
    apply_machine_list(state_, settings_, machines, requested_at, now);
}

} // namespace spindlecroft::fleet
