// Scale out: plans the machines to rent for service replicas, spare capacity and array tasks.
#pragma once
#include "common/time.hpp"
#include "fleet/array_demand.hpp"
#include "fleet/offers.hpp"
#include "fleet/rental_requests.hpp"
#include "model/cluster_state.hpp"
#include "planning/bidder.hpp"
#include "planning/placement_rules.hpp"
#include "planning/rental_offer.hpp"
#include "settings/settings.hpp"
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace spindlecroft::fleet {

/// The machines available to a plan: those in use, those requested, and those that the plan adds.
/// They are copies, so tasks placed on them by the plan are not placed in the cluster state.
using planned_machines = std::vector<planning::bidder>;

/// Returns a machine that is requested but not yet named by the cloud.
[[nodiscard]] planning::bidder make_unnamed_machine(const machine_type &type,
                                                    const std::string &zone, bool spot);

/// Places the waiting work on the planned machines and rents more where it does not fit. The
/// functions are to be called in the order of importance: each uses the capacity left by the
/// previous one.
class scale_out {
  public:
    scale_out(const settings::settings &settings, const model::cluster_state &state,
              offer_catalog &offers, rental_requests &requests)
        : settings_(settings), state_(state), offers_(offers), requests_(requests) {}

    /// Plans the waiting replicas of services.
    void plan_replicas(planned_machines &planned, time_point now);
    /// Plans spare capacity, so that a new replica of a recently seen class starts immediately.
    /// Returns the names of the machines kept for it.
    [[nodiscard]] std::set<std::string> plan_spare_capacity(planned_machines &planned,
                                                            time_point now);
    /// Plans the unfinished work of arrays.
    void plan_array_work(planned_machines &planned, time_point now);

  private:
    using zone_counts = std::map<std::string, std::uint32_t>;

    [[nodiscard]] bool is_fleet_full(const planned_machines &planned) const;
    planning::bidder &rent(const planning::rental_offer &offer, planned_machines &planned,
                           time_point now);
    /// Rents an on-demand machine for a replica. zones: the allowed zones; null allows all. Returns
    /// false if no offer is available or the fleet limit is reached.
    bool rent_for_replica(const job_spec &spec, const std::set<std::string> *zones,
                          planned_machines &planned, time_point now);
    void plan_replicas_of(const catalog::job &job, planned_machines &planned, time_point now);
    [[nodiscard]] zone_counts replicas_by_zone(const catalog::job &job) const;
    [[nodiscard]] std::set<std::string> zones_open_to(const catalog::job &job,
                                                      zone_counts &replicas) const;
    void plan_spare_replicas(const job_spec &spec, planned_machines &planned,
                             std::set<std::string> &spare, time_point now);
    [[nodiscard]] planning::bidder *
    find_spare_machine(const job_spec &spec, planned_machines &planned,
                       std::map<std::string, int> &spare_by_zone) const;
    void plan_array_demand(const array_demand &demand, planned_machines &planned, time_point now);

    const settings::settings &settings_;
    const model::cluster_state &state_;
    offer_catalog &offers_;
    rental_requests &requests_;
};

} // namespace spindlecroft::fleet
