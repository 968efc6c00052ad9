// The life of machines as the scheduler sees it: listed, rented, deleted, gone.
#include "constants.hpp"
#include "control/scheduler.hpp"
#include <algorithm>
#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace spindlecroft::control {

using catalog::attempt_phase;
namespace c = constants;

void scheduler::clear_machine(machine_t &m, bool gone) {
    clear_queue(m);
    auto refs = m.attempts;
    for (auto &ref : refs) {
        auto *j = job_of(ref.job);
        if (!j || !j->live.count(ref.index))
            continue;
        auto &a = j->live[ref.index];
        if (a.phase == attempt_phase::exited && a.cause == exit_cause::done)
            continue; // its being done is a fact that is being written
        if (gone || a.possibly_running())
            release_attempt(*j, ref.index, true);
    }
}

void scheduler::remove_machine(const std::string &name, time_point now) {
    auto i = machines_.find(name);
    if (i == machines_.end())
        return;
    clear_machine(i->second, true);
    failures_.forget_machine(name);
    bidders_.erase(name);
    machines_.erase(name);
    removed_[name] = now;
    urgent_.erase(name);
    dirty_ = true;
}

void scheduler::request_deletion(machine_t &m, const char *why) {
    if (m.deleting)
        return;
    spdlog::info("{} ({} {} {}): to be deleted, {}", m.name, m.type.name, m.zone,
                 m.spot ? "spot" : "ordinary", why);
    m.deleting = true;
    withdraw_unstarted(m);
}

std::vector<std::string> scheduler::take_deletions(time_point now) {
    std::vector<std::string> out;
    for (auto &[name, m] : machines_)
        if (m.deleting && !m.delete_sent_at &&
            out.size() < static_cast<std::size_t>(c::deletes_per_request)) {
            m.delete_sent_at = now;
            out.push_back(name);
        }
    return out;
}

void scheduler::on_deleted(const std::vector<std::string> &machines, time_point now) {
    for (auto &name : machines)
        remove_machine(name, now);
}

void scheduler::on_delete_failed(const std::vector<std::string> &machines) {
    for (auto &name : machines)
        if (auto i = machines_.find(name); i != machines_.end())
            i->second.delete_sent_at.reset();
}

void scheduler::on_types(std::vector<machine_type> types) {
    types_ = std::move(types);
}

void scheduler::on_machine_list(const std::vector<listed_machine> &hosts, time_point asked_at,
                                time_point now) {
    std::set<std::string> listed;
    for (auto &h : hosts) {
        listed.insert(h.id);
        if (removed_.count(h.id))
            continue; // an old list
        auto &m = machine_of(h.id, now);
        set_type(m, h.type, h.zone, h.spot, h.address);
        if (!m.listed_at) {
            m.listed_at = now;
            if (!m.up)
                m.rented_at = std::min(m.rented_at, now - h.age);
        }
        if (h.state == machine_state::running && !m.running_at)
            m.running_at = now;
        if (h.state == machine_state::failed) {
            clear_machine(m, true);
            request_deletion(m, "failed");
        }
    }
    // A list describes a time at most twice the usual lag ago. A machine that existed before then
    // and is not listed is gone.
    auto described = asked_at - 2 * settings_.list_lag - seconds{1};
    std::vector<std::string> gone;
    for (auto &[name, m] : machines_) {
        // Guards against giving up machines that were rented late: many requests wait for the
        // cloud's limit, and the machine is younger than the wish for it.
        auto since = m.listed_at.value_or(m.known_at);
        if (!listed.count(name) && since < described)
            gone.push_back(name);
    }
    for (auto &name : gone) {
        spdlog::info("{}: no longer listed", name);
        remove_machine(name, now);
    }
    // Names are not used again; late words about a machine end after a few lease times.
    std::erase_if(removed_, [&](auto &r) {
        return now - r.second > 10 * (settings_.lease_duration + settings_.list_lag);
    });
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
        if (removed_.count(name))
            continue;
        auto &m = machine_of(name, now);
        set_type(m, s.what.type, s.what.zone, s.what.spot, "");
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
    dirty_ = true;
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
