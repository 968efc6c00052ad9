// Which machines to rent and which to give back.
#include "constants.hpp"
#include "control/scheduler.hpp"
#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace spindlecroft::control {

using catalog::attempt_phase;
namespace c = constants;

std::string scheduler::offer_key(const std::string &type, const std::string &zone, bool spot) {
    return fmt::format("{}|{}|{}", type, zone, spot);
}

// The cheapest place for such a task that was not refused of late.
std::optional<rental_offer> scheduler::cheapest_offer(const job_spec &s, bool spot,
                                                      const std::set<std::string> *zones,
                                                      time_point now) const {
    std::optional<rental_offer> best;
    for (auto &t : state_.types()) {
        if (!planning::type_allowed(s, t.name))
            continue;
        int slots = bidding::room{t.cpus, t.gpus, t.memory_gb}.slots(s);
        if (slots < 1)
            continue;
        double price = spot && t.spot_price > 0 ? t.spot_price : t.price;
        for (auto &z : t.zones) {
            if ((s.zone && *s.zone != z) || (zones && !zones->count(z)))
                continue;
            auto key = offer_key(t.name, z, spot);
            auto refused = refused_.find(key);
            if (refused != refused_.end() && refused->second > now)
                continue;
            // Guards against asking many times over for what is sold out: each request costs a call
            // to the cloud and a part of a record. One asks; more follow when it was filled.
            auto asked = asked_.find(key);
            if (asked != asked_.end() && asked->second >= c::machines_per_request &&
                sold_out_.count(key))
                continue;
            // Boot time is paid for and waited for.
            double per_slot = price / slots * (1 + t.boot_time / c::rental_use);
            if (!best || per_slot < best->price_per_slot * 0.999)
                best = rental_offer{&t, z, spot, slots, per_slot};
        }
    }
    return best;
}

void scheduler::rent(const rental_offer &o, int count, time_point now) {
    // Wishes of one round for the same kind of machine share a request, and all requests of a round
    // a record, as far as it holds.
    asked_[offer_key(o.type->name, o.zone, o.spot)] += count;
    std::size_t in_round = 0, bytes = wire::rental_bytes({});
    auto round = fmt::format("{}-{}", state_.term().first_token, rental_round_);
    for (auto &[request, r] : rentals_)
        if (r.round == round) {
            ++in_round;
            bytes += wire::rental_bytes(r.what);
            if (r.asked_at == now && !r.durable && r.what.type == o.type->name &&
                r.what.zone == o.zone && r.what.spot == o.spot &&
                r.what.count + count <= c::machines_per_request) {
                r.what.count += count;
                return;
            }
        }
    auto request = fmt::format("r-{}-{}", state_.term().first_token, ++rental_counter_);
    rental_request what{request, o.type->name, o.zone, o.spot, count};
    bytes += wire::rental_bytes(what);
    if (rental_round_at_ != now || in_round >= c::rentals_per_record ||
        bytes > most_record_bytes()) {
        rental_round_at_ = now;
        round = fmt::format("{}-{}", state_.term().first_token, ++rental_round_);
    }
    auto &s = rentals_[request];
    s.what = what;
    s.round = round;
    s.asked_at = now;
}

void scheduler::fleet_for_services(std::vector<bidder> &fleet, time_point now) {
    auto fits_on = [&](bidder &b, const job_spec &s) {
        return (!b.spot || s.spot) && planning::type_allowed(s, b.type->name) &&
               (!s.zone || *s.zone == b.zone) && b.critical.fits(s);
    };
    auto rent_for = [&](const job_spec &s, const std::set<std::string> *zones) {
        if (fleet.size() >= static_cast<std::size_t>(settings_.ops.fleet_limit))
            return false;
        auto offer = cheapest_offer(s, false, zones, now);
        if (!offer)
            return false;
        rent(*offer, 1, now);
        bidder b;
        b.type = offer->type;
        b.zone = offer->zone;
        b.free = b.critical =
            b.whole = {offer->type->cpus, offer->type->gpus, offer->type->memory_gb};
        b.hold(s, seconds{});
        fleet.push_back(std::move(b));
        return true;
    };
    // Replicas that nobody could take.
    for (auto &[id, j] : state_.jobs()) {
        if (j.spec.shape != job_shape::service || j.waiting() == 0 || now < j.backoff_until)
            continue;
        std::map<std::string, std::uint32_t> zone_count;
        auto note = [&](const std::string &name) {
            if (auto i = state_.machines().find(name); i != state_.machines().end())
                ++zone_count[i->second.zone];
        };
        for (auto &[i, a] : j.live)
            note(a.machine);
        for (auto &[i, name] : j.queued)
            note(name);
        auto tasks = state_.failures().is_suspect(id) ? 1 : j.waiting();
        for (std::uint32_t k = 0; k < tasks; ++k) {
            bool done = false;
            for (auto &b : fleet) {
                if (j.spec.spread && zone_count[b.zone] >= j.zone_cap())
                    continue;
                if (fits_on(b, j.spec)) {
                    b.hold(j.spec, seconds{});
                    ++zone_count[b.zone];
                    done = true;
                    break;
                }
            }
            if (done)
                continue;
            std::set<std::string> zones;
            for (auto &t : state_.types())
                for (auto &z : t.zones)
                    if (!j.spec.spread || zone_count[z] < j.zone_cap())
                        zones.insert(z);
            if (!rent_for(j.spec, &zones))
                break;
            ++zone_count[fleet.back().zone];
        }
    }
    // Warm room, so that a new replica of a class seen lately starts at once.
    spare_.clear();
    for (auto &[job_class, recent] : state_.recent_services()) {
        if (now - recent.seen_at > c::service_class_memory)
            continue;
        auto &s = recent.spec;
        std::map<std::string, int> per_zone;
        for (int k = 0; k < settings_.ops.spare_replicas; ++k) {
            // One after another in different zones where the class is spread.
            bidder *best = nullptr;
            for (auto &b : fleet)
                if (fits_on(b, s) &&
                    (!best || (s.spread && per_zone[b.zone] < per_zone[best->zone]) ||
                     ((!s.spread || per_zone[b.zone] == per_zone[best->zone]) &&
                      planning::displaced_slots(b, s, state_.latest_array()) <
                          planning::displaced_slots(*best, s, state_.latest_array()))))
                    best = &b;
            if (best) {
                best->hold(s, seconds{});
                ++per_zone[best->zone];
                if (best->m)
                    spare_.insert(best->m->name);
                continue;
            }
            if (!rent_for(s, nullptr))
                break;
        }
    }
}

double scheduler::ordinary_patience(const job_spec &s) const {
    double spot = 0, ordinary = 0; // the least price of room for one task
    for (auto &t : state_.types()) {
        int slots = bidding::room{t.cpus, t.gpus, t.memory_gb}.slots(s);
        if (slots < 1 || !planning::type_allowed(s, t.name))
            continue;
        if (t.spot_price > 0 && (spot <= 0 || t.spot_price / slots < spot))
            spot = t.spot_price / slots;
        if (t.price > 0 && (ordinary <= 0 || t.price / slots < ordinary))
            ordinary = t.price / slots;
    }
    if (spot <= 0 || ordinary <= 0)
        return 1;
    return std::clamp(ordinary / spot, 1.0, c::ordinary_patience);
}

void scheduler::fleet_for_arrays(std::vector<bidder> &fleet, time_point now) {
    // Work that comes and goes, as far as its teams' limits let it run, by what a task needs. Kinds
    // are kept apart: room for small tasks is none for large ones.
    struct kind {
        const job_spec *spec = nullptr;
        double tasks = 0;
        seconds work{};
    };
    std::map<std::string, kind> kinds;
    std::map<std::string, double> team_cpus;
    for (auto &[id, j] : state_.jobs())
        if (j.spec.shape == job_shape::service)
            team_cpus[j.spec.team] += j.spec.cpus * static_cast<double>(j.live.size());
    for (auto &[id, j] : state_.jobs()) {
        if (j.spec.shape != job_shape::array || j.over() || now < j.backoff_until)
            continue;
        double n = j.waiting() + static_cast<double>(j.queued.size());
        if (state_.failures().is_suspect(id))
            n = std::min(n, 1.0); // no room is rented for what fails anyway
        seconds w = n * state_.expected_run_time(j);
        for (auto &[i, a] : j.live)
            if (a.holds_resources()) {
                seconds ran = a.ran_for(now);
                w += std::max(0.2 * a.estimate, a.estimate - ran);
                ++n;
            }
        if (n == 0)
            continue;
        auto *team = teams_.find(j.spec.team);
        double allowed = n;
        if (team && team->cpus_max > 0 && j.spec.cpus > 0) {
            auto &used = team_cpus[j.spec.team];
            allowed = std::clamp(std::floor((team->cpus_max - used) / j.spec.cpus), 0.0, n);
            used += allowed * j.spec.cpus;
        }
        if (allowed == 0)
            continue;
        std::string types;
        if (j.spec.types)
            for (auto &t : *j.spec.types)
                types += t + ",";
        auto &k = kinds[fmt::format("{:09.2f}|{}|{}|{}|{}|{}", 1e6 - j.spec.cpus, j.spec.memory_gb,
                                    j.spec.gpus, types, j.spec.zone.value_or(""), j.spec.spot)];
        k.spec = &j.spec;
        k.tasks += allowed;
        k.work += w * allowed / n;
    }
    for (auto &[name, k] : kinds) {
        auto &s = *k.spec;
        seconds average = k.work / k.tasks;
        auto slots_for = [&, tasks = k.tasks, work = k.work](seconds target) {
            return std::min(tasks, std::ceil(work / (target + average)));
        };
        double need = slots_for(settings_.ops.drain_target);
        // Work that may use spot machines waits longer before ordinary ones are paid for: by as
        // much as they are dearer.
        double spare_wait = need - slots_for(settings_.ops.drain_target * ordinary_patience(s));
        for (auto &b : fleet)
            while (need > 0 && planning::type_allowed(s, b.type->name) &&
                   (!s.zone || *s.zone == b.zone) && (!b.spot || s.spot) && b.whole.fits(s)) {
                b.whole.take(s);
                --need;
            }
        // Bounded also here: a job of 100,000 tasks would ask for thousands of machines.
        while (need > 0 && fleet.size() < static_cast<std::size_t>(settings_.ops.fleet_limit)) {
            std::optional<rental_offer> offer;
            if (s.spot && settings_.ops.spot)
                offer = cheapest_offer(s, true, nullptr, now);
            if (!offer) {
                if (s.spot && settings_.ops.spot && need <= spare_wait)
                    break;
                offer = cheapest_offer(s, false, nullptr, now);
            }
            if (!offer)
                break;
            rent(*offer, 1, now);
            bidder b;
            b.type = offer->type;
            b.zone = offer->zone;
            b.spot = offer->spot;
            b.free = b.critical =
                b.whole = {offer->type->cpus, offer->type->gpus, offer->type->memory_gb};
            for (; need > 0 && b.whole.fits(s); --need)
                b.whole.take(s);
            fleet.push_back(std::move(b));
        }
    }
}

void scheduler::return_idle(time_point now) {
    for (auto &[name, m] : state_.machines()) {
        if (!m.up || m.deleting || !m.attempts.empty() || !m.queue.empty() || spare_.count(name))
            continue;
        seconds keep = std::max(c::idle_least, c::idle_boots * m.type.boot_time);
        if (now - m.idle_since > keep)
            state_.request_deletion(m, "idle");
    }
}

void scheduler::plan_fleet(time_point now) {
    std::vector<bidder> fleet; // copies: what is planned here is no vote
    for (auto *b : make_bidders(now))
        fleet.push_back(*b);
    asked_.clear();
    for (auto &[request, s] : rentals_) {
        if (s.answered)
            continue;
        asked_[offer_key(s.what.type, s.what.zone, s.what.spot)] += s.what.count;
        auto *t = state_.find_type(s.what.type);
        if (!t)
            continue;
        for (int k = 0; k < s.what.count; ++k) {
            bidder b;
            b.type = t;
            b.zone = s.what.zone;
            b.spot = s.what.spot;
            b.free = b.critical = b.whole = {t->cpus, t->gpus, t->memory_gb};
            fleet.push_back(std::move(b));
        }
    }
    fleet_for_services(fleet, now);
    fleet_for_arrays(fleet, now);
    return_idle(now);
}

} // namespace spindlecroft::control
