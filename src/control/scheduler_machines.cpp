// The life of machines as the scheduler sees it: listed, rented, deleted, gone.
#include "constants.hpp"
#include "control/scheduler.hpp"
#include <algorithm>
#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace spindlecroft::control {

using catalog::attempt_phase;
namespace c = constants;

std::vector<std::string> scheduler::take_deletions(time_point now) {
    std::vector<std::string> out;
    for (auto &[name, m] : state_.machines())
        if (m.deleting && !m.delete_sent_at &&
            out.size() < static_cast<std::size_t>(c::deletes_per_request)) {
            m.delete_sent_at = now;
            out.push_back(name);
        }
    return out;
}

void scheduler::on_deleted(const std::vector<std::string> &machines, time_point now) {
    for (auto &name : machines)
        state_.remove_machine(name, now);
}

void scheduler::on_delete_failed(const std::vector<std::string> &machines) {
    for (auto &name : machines)
        if (auto i = state_.machines().find(name); i != state_.machines().end())
            i->second.delete_sent_at.reset();
}

void scheduler::on_types(std::vector<machine_type> types) {
    state_.set_types(std::move(types));
}

void scheduler::on_machine_list(const std::vector<listed_machine> &hosts, time_point asked_at,
                                time_point now) {
    std::set<std::string> listed;
    for (auto &h : hosts) {
        listed.insert(h.id);
        if (state_.was_removed(h.id))
            continue; // an old list
        auto &m = state_.ensure_machine(h.id, now);
        state_.describe_machine(m, h.type, h.zone, h.spot, h.address);
        if (!m.listed_at) {
            m.listed_at = now;
            if (!m.up)
                m.rented_at = std::min(m.rented_at, now - h.age);
        }
        if (h.state == machine_state::running && !m.running_at)
            m.running_at = now;
        if (h.state == machine_state::failed) {
            state_.release_attempts(m);
            state_.request_deletion(m, "failed");
        }
    }
    // A list describes a time at most twice the usual lag ago. A machine that existed before then
    // and is not listed is gone.
    auto described = asked_at - 2 * settings_.list_lag - seconds{1};
    std::vector<std::string> gone;
    for (auto &[name, m] : state_.machines()) {
        // Guards against giving up machines that were rented late: many requests wait for the
        // cloud's limit, and the machine is younger than the wish for it.
        auto since = m.listed_at.value_or(m.known_at);
        if (!listed.count(name) && since < described)
            gone.push_back(name);
    }
    for (auto &name : gone) {
        spdlog::info("{}: no longer listed", name);
        state_.remove_machine(name, now);
    }
    // Names are not used again; late words about a machine end after a few lease times.
    state_.forget_removed(10 * (settings_.lease_duration + settings_.list_lag), now);
}

std::vector<rental_request> scheduler::take_rentals(time_point now) {
    std::vector<rental_request> out;
    for (auto &[request, s] : rentals_)
        if (s.durable && !s.asking && !s.answered && s.next_try <= now) {
            s.asking = true;
            spdlog::info("renting {} {} in {} ({})", s.what.count, s.what.type, s.what.zone,
                         s.what.spot ? "spot" : "ordinary");
            out.push_back(s.what);
        }
    return out;
}

void scheduler::on_rented(const std::string &request, const std::vector<std::string> &machines,
                          time_point now) {
    auto i = rentals_.find(request);
    if (i == rentals_.end())
        return;
    auto &s = i->second;
    s.asking = false;
    s.answered = true;
    s.machines = machines;
    for (auto &name : machines) {
        if (state_.was_removed(name))
            continue;
        auto &m = state_.ensure_machine(name, now);
        state_.describe_machine(m, s.what.type, s.what.zone, s.what.spot, "");
        if (!m.up)
            m.rented_at = std::min(m.rented_at, s.asked_at);
    }
    auto key = offer_key(s.what.type, s.what.zone, s.what.spot);
    if (static_cast<int>(machines.size()) < s.what.count) {
        refused_[key] = now + c::refused_capacity;
        sold_out_.insert(key);
    } else {
        sold_out_.erase(key);
    }
    state_.request_planning();
}

void scheduler::on_rent_refused(const std::string &request, time_point now) {
    auto i = rentals_.find(request);
    if (i == rentals_.end())
        return;
    auto &s = i->second;
    auto key = offer_key(s.what.type, s.what.zone, s.what.spot);
    refused_[key] = now + c::refused_capacity;
    sold_out_.insert(key);
    s.asking = false;
    s.answered = true; // with no machines
    s.machines.clear();
    last_fleet_.reset(); // look for another offer at once
}

void scheduler::on_rent_unsure(const std::string &request, time_point now) {
    auto i = rentals_.find(request);
    if (i == rentals_.end())
        return;
    i->second.asking = false;
    i->second.next_try = now + c::rental_retry;
}

} // namespace spindlecroft::control
