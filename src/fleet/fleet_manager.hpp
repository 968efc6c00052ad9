// Controls how many machines of each type the cluster rents.
#pragma once
#include "common/time.hpp"
#include "fleet/machine_health.hpp"
#include "fleet/offers.hpp"
#include "fleet/rental_requests.hpp"
#include "fleet/scale_in.hpp"
#include "fleet/scale_out.hpp"
#include "model/cluster_state.hpp"
#include "planning/bidder.hpp"
#include "planning/placement_rules.hpp"
#include "planning/rental_offer.hpp"
#include "settings/settings.hpp"
#include "wire/codec.hpp"
#include "wire/types.hpp"
#include <cstddef>
#include <string>
#include <vector>

namespace spindlecroft::fleet {

/// Connects the parts of fleet management: offers, rental requests, scale out, scale in, machine
/// lists and machine health. It contains no rules of its own.
class fleet_manager {
  public:
    /// record_bytes: the size limit of a durable record.
    fleet_manager(const settings::settings &settings, model::cluster_state &state,
                  std::size_t record_bytes);
    // Not copyable, since the parts refer to each other.
    ~fleet_manager() = default;
    fleet_manager(const fleet_manager &) = delete;
    fleet_manager &operator=(const fleet_manager &) = delete;

    /// Rents machines for the waiting work and deletes idle ones. in_use: copies of the machines
    /// that may get work now.
    void plan(std::vector<planning::bidder> in_use, time_point now);
    /// Requests the deletion of machines that are silent or unusable.
    void check_machines(time_point now) { health_.check(now); }

    // --- rentals ---
    void load_rental(const std::string &round, const wire::rental_record &record, time_point now) {
        requests_.load(round, record, now);
    }
    [[nodiscard]] std::vector<rental_record_change> take_record_changes() {
        return requests_.take_record_changes();
    }
    void on_record_written(const std::string &round, rental_record_outcome outcome) {
        requests_.on_record_written(round, outcome);
    }
    [[nodiscard]] std::vector<rental_request> take_rentals(time_point now) {
        return requests_.take_requests(now);
    }
    void on_rented(const std::string &request, const std::vector<std::string> &machines,
                   time_point now);
    /// Returns whether the request was known. If so, another offer should be sought immediately.
    bool on_rent_refused(const std::string &request, time_point now);
    void on_rent_outcome_unknown(const std::string &request, time_point now) {
        requests_.on_outcome_unknown(request, now);
    }

    // --- deletions and machine lists ---
    [[nodiscard]] std::vector<std::string> take_deletions(time_point now) {
        return scale_in_.take_deletions(now);
    }
    void on_deleted(const std::vector<std::string> &machines, time_point now) {
        scale_in_.on_deleted(machines, now);
    }
    void on_delete_failed(const std::vector<std::string> &machines) {
        scale_in_.on_delete_failed(machines);
    }
    void on_machine_list(const std::vector<listed_machine> &machines, time_point requested_at,
                         time_point now);

  private:
    /// Adds the machines of the requests that the cloud has not answered yet.
    void add_requested_machines(planned_machines &planned);

    const settings::settings &settings_;
    model::cluster_state &state_;
    offer_catalog offers_;
    rental_requests requests_;
    scale_out scale_out_;
    scale_in scale_in_;
    machine_health health_;
};

} // namespace spindlecroft::fleet
