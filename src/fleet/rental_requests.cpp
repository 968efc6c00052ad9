// Rental requests, their durable records and the answers of the cloud.
#include "fleet/rental_requests.hpp"
#include "constants.hpp"
#include <algorithm>
#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace spindlecroft::fleet {

namespace {

bool is_for_offer(const rental_request &request, const planning::rental_offer &offer) {
    return request.type == offer.type->name && request.zone == offer.zone &&
           request.spot == offer.spot;
}

} // namespace

void rental_requests::load(const std::string &round, const wire::rental_record &record,
                           time_point now) {
    rounds_[round].is_written = true;
    for (const auto &request : record.requests) {
        auto &rental = rentals_[request.id];
        rental.request = request;
        rental.round = round;
        rental.requested_at =
            now - std::max(seconds{}, state_.term().clock.to_wall(now) - record.requested_at);
        rental.is_durable = true;
    }
}

std::string rental_requests::round_name(std::uint64_t number) const {
    return fmt::format("{}-{}", state_.term().first_token, number);
}

void rental_requests::add(const planning::rental_offer &offer, int count, time_point now) {
    std::size_t requests = 0, bytes = wire::rental_bytes({});
    auto round = round_name(round_counter_);
    for (auto &[name, rental] : rentals_) {
        if (rental.round != round)
            continue;
        ++requests;
        bytes += wire::rental_bytes(rental.request);
        if (rental.requested_at == now && !rental.is_durable &&
            is_for_offer(rental.request, offer) &&
            rental.request.count + count <= constants::max_machines_per_rental_request) {
            rental.request.count += count;
            return;
        }
    }
    auto name = fmt::format("r-{}-{}", state_.term().first_token, ++request_counter_);
    rental_request request{name, offer.type->name, offer.zone, offer.spot, count};
    bytes += wire::rental_bytes(request);
    if (round_began_at_ != now || requests >= constants::max_rentals_per_record ||
        bytes > record_bytes_) {
        round_began_at_ = now;
        round = round_name(++round_counter_);
    }
    auto &rental = rentals_[name];
    rental.request = request;
    rental.round = round;
    rental.requested_at = now;
}

// A request is open until the cloud has answered it and each of its machines is listed or gone.
// Machines that are listed or gone are dropped from it.
bool rental_requests::is_open(tracked_rental &rental) const {
    std::erase_if(rental.machines, [&](const std::string &name) {
        const auto *machine = state_.find_machine(name);
        return !machine || machine->listed_at;
    });
    return !rental.is_answered || !rental.machines.empty();
}

// One record holds all requests of a round and is written before the cloud is called. It is deleted
// once every machine is listed or gone: until then a new leader has to request the names again, or
// it would rent the machines twice.
std::vector<rental_record_change> rental_requests::take_record_changes() {
    std::vector<rental_record_change> changes;
    std::map<std::string, std::vector<tracked_rental *>> rentals_of;
    for (auto &[name, rental] : rentals_)
        rentals_of[rental.round].push_back(&rental);
    for (auto &[name, rentals] : rentals_of) {
        auto &round = rounds_[name];
        if (round.is_write_pending)
            continue;
        rental_record_change change{name, std::nullopt};
        if (!round.is_written) {
            auto &record = change.record.emplace();
            record.requested_at = state_.term().clock.to_wall(rentals.front()->requested_at);
            for (const auto *rental : rentals)
                record.requests.push_back(rental->request);
        } else if (std::count_if(rentals.begin(), rentals.end(),
                                 [&](auto *rental) { return is_open(*rental); }) > 0) {
            continue;
        }
        round.is_write_pending = true;
        changes.push_back(std::move(change));
    }
    return changes;
}

void rental_requests::on_record_written(const std::string &round, rental_record_outcome outcome) {
    auto found = rounds_.find(round);
    if (found == rounds_.end())
        return;
    found->second.is_write_pending = false;
    if (outcome == rental_record_outcome::failed)
        return; // the next call of take_record_changes() repeats the write
    if (outcome == rental_record_outcome::dropped) {
        std::erase_if(rentals_, [&](const auto &entry) { return entry.second.round == round; });
        rounds_.erase(found);
        return;
    }
    found->second.is_written = true;
    for (auto &[name, rental] : rentals_)
        if (rental.round == round)
            rental.is_durable = true;
}

std::vector<rental_request> rental_requests::take_requests(time_point now) {
    std::vector<rental_request> requests;
    for (auto &[name, rental] : rentals_) {
        if (!rental.is_durable || rental.is_call_pending || rental.is_answered ||
            rental.retry_at > now)
            continue;
        rental.is_call_pending = true;
        const auto &request = rental.request;
        spdlog::info("requesting {} machines of type {} in zone {} ({})", request.count,
                     request.type, request.zone, request.spot ? "spot" : "on-demand");
        requests.push_back(request);
    }
    return requests;
}

std::optional<rental_request> rental_requests::on_rented(const std::string &request,
                                                         const std::vector<std::string> &machines,
                                                         time_point now) {
    auto found = rentals_.find(request);
    if (found == rentals_.end())
        return std::nullopt;
    auto &rental = found->second;
    rental.is_call_pending = false;
    rental.is_answered = true;
    rental.machines = machines;
    for (const auto &name : machines) {
        if (state_.was_removed(name))
            continue;
        auto &machine = state_.find_or_add_machine(name, now);
        state_.update_description(machine, rental.request.type, rental.request.zone,
                                  rental.request.spot, "");
        if (!machine.is_up)
            machine.rented_at = std::min(machine.rented_at, rental.requested_at);
    }
    return rental.request;
}

std::optional<rental_request> rental_requests::on_refused(const std::string &request) {
    auto found = rentals_.find(request);
    if (found == rentals_.end())
        return std::nullopt;
    auto &rental = found->second;
    rental.is_call_pending = false;
    rental.is_answered = true; // with no machines
    rental.machines.clear();
    return rental.request;
}

void rental_requests::on_outcome_unknown(const std::string &request, time_point now) {
    auto found = rentals_.find(request);
    if (found == rentals_.end())
        return;
    found->second.is_call_pending = false;
    found->second.retry_at = now + constants::rental_retry_delay;
}

} // namespace spindlecroft::fleet
