// Choice among the offers of the cloud.
#include "fleet/offers.hpp"
#include "bidding/bid.hpp"
#include "constants.hpp"
#include "planning/placement_rules.hpp"
#include <algorithm>

namespace spindlecroft::fleet {

namespace {

// Ratio of prices; an offer must be cheaper by more than a rounding error to replace the best one.
constexpr double cheaper_ratio = 0.999;

int slots_on(const machine_type &type, const job_spec &spec) {
    return bidding::resources{type.cpus, type.gpus, type.memory_gb}.slots(spec);
}

} // namespace

offer_key key_of(const planning::rental_offer &offer) {
    return {offer.type->name, offer.zone, offer.spot};
}

offer_key key_of(const rental_request &request) {
    return {request.type, request.zone, request.spot};
}

bool offer_catalog::may_request(const offer_key &offer, time_point now) const {
    auto refused = refused_until_.find(offer);
    if (refused != refused_until_.end() && refused->second > now)
        return false;
    // Limits requests for a sold-out offer to one, since each costs a call to the cloud and space
    // in a record. More follow once that one was filled.
    auto pending = pending_.find(offer);
    return pending == pending_.end() ||
           pending->second < constants::max_machines_per_rental_request ||
           !sold_out_.contains(offer);
}

std::optional<planning::rental_offer> offer_catalog::cheapest(const job_spec &spec,
                                                              price_class prices,
                                                              const std::set<std::string> *zones,
                                                              time_point now) const {
    bool spot = prices == price_class::spot;
    std::optional<planning::rental_offer> best;
    for (const auto &type : state_.types()) {
        if (!planning::type_allowed(spec, type.name))
            continue;
        int slots = slots_on(type, spec);
        if (slots < 1)
            continue;
        double price = spot && type.spot_price > 0 ? type.spot_price : type.price;
        for (const auto &zone : type.zones) {
            if ((spec.zone && *spec.zone != zone) || (zones && !zones->contains(zone)))
                continue;
            if (!may_request({type.name, zone, spot}, now))
                continue;
            // Boot time is paid for, and the work waits for it.
            double price_per_slot =
                price / slots * (1 + type.boot_time / constants::expected_rental_duration);
            if (!best || price_per_slot < best->price_per_slot * cheaper_ratio)
                best = planning::rental_offer{&type, zone, spot, slots, price_per_slot};
        }
    }
    return best;
}

double offer_catalog::on_demand_wait_ratio(const job_spec &spec) const {
    double spot_price = 0, on_demand_price = 0; // lowest price per task
    for (const auto &type : state_.types()) {
        int slots = slots_on(type, spec);
        if (slots < 1 || !planning::type_allowed(spec, type.name))
            continue;
        if (type.spot_price > 0 && (spot_price <= 0 || type.spot_price / slots < spot_price))
            spot_price = type.spot_price / slots;
        if (type.price > 0 && (on_demand_price <= 0 || type.price / slots < on_demand_price))
            on_demand_price = type.price / slots;
    }
    if (spot_price <= 0 || on_demand_price <= 0)
        return 1;
    return std::clamp(on_demand_price / spot_price, 1.0, constants::max_on_demand_wait_ratio);
}

void offer_catalog::note_refused(const offer_key &offer, time_point now) {
    refused_until_[offer] = now + constants::refused_offer_pause;
    sold_out_.insert(offer);
}

void offer_catalog::note_fulfilled(const offer_key &offer) {
    sold_out_.erase(offer);
}

} // namespace spindlecroft::fleet
