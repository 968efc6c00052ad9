// The leaders of the randomized simulation, their commands and their cloud.
#include "membership/cancel_exchange.hpp"
#include "randomized_simulation.hpp"
#include "store/keys.hpp"
#include <algorithm>
#include <fmt/format.h>

namespace spindlecroft::test {

void simulation::elect() {
    if (now < outage_until) { // nobody can be chosen
        at(outage_until + seconds{0.1}, [this] {
            if (!scheduler)
                elect();
        });
        return;
    }
    ++leaders;
    leader_refused_until = {};
    known_until = now;
    versions.clear();
    for (auto &[key, value] : kv)
        versions[key] = value.second;
    leader_token = ++revision;
    scheduler = std::make_shared<control::scheduler>(conf, types);
    scheduler->begin(now, leader_token, wall_clock{});
    // What it can't read it passes over.
    leader_ignores_dependents = chance(0.3) && !dependent_may_run();
    ends_unreadable = chance(0.3);
    if (ends_unreadable)
        at(now + between(1, 20), [this] { ends_unreadable = false; });
    load_records();
    scheduler->finish_loading(now);
}

void simulation::load_records() {
    for (auto &[id, record] : jobs)
        if (!leader_ignores_dependents || record.job.spec.predecessors.empty())
            scheduler->load_job(id, record.job, record.version, now);
    tell_predecessor_ends();
    for (auto &[key, kept] : kv) // done records before placements
        if (key[0] == 'd')
            scheduler->load_done(key.substr(2), wire::parse_done_parts(kept.first));
    for (auto &[key, kept] : kv) {
        auto &value = kept.first;
        if (key[0] == 'p')
            scheduler->load_placements(key.substr(2), wire::parse_placements(value), now);
        if (key[0] == 'm')
            scheduler->load_rental(key.substr(2), wire::parse_rental_record(value), now);
        if (key == store::keys::suspect_jobs)
            scheduler->load_suspects(wire::parse_suspects(value), now);
    }
}

void simulation::advance_leader() {
    // Other controllers tell all they confirm within moments, unless nobody hears them.
    if (now >= leader_refused_until || !cancel_notices_lost)
        known_until = now - 1s;
    tell_predecessor_ends();
    scheduler->tick(now);
    auto leader = scheduler;
    auto write_at = now + between(0.01, 0.1);
    if (chance(0.02))
        write_at += 2s;
    for (auto &w : scheduler->take_writes(now))
        at(write_at, [this, leader, w] { apply_write(leader, w); });
    for (auto &name : scheduler->take_urgent_machines())
        send_command(name);
    for (auto &request : scheduler->take_rental_requests(now))
        at(now + delay(), [this, leader, request] { rent(leader, request); });
    if (auto names = scheduler->take_deletions(now); !names.empty())
        at(now + delay(), [this, leader, names] { delete_machines(leader, names); });
    if (scheduler->needs_token_raise(now) && now >= outage_until && now >= leader_refused_until) {
        leader_token = ++revision;
        scheduler->set_token(leader_token);
    }
}

void simulation::rent(const std::shared_ptr<control::scheduler> &leader,
                      const rental_request &request) {
    if (!rentals.count(request.id))
        for (int count = 0; count < request.count; ++count) {
            worker w;
            w.name = fmt::format("i-{:04}", ++machine_count);
            w.type = request.type;
            w.zone = request.zone;
            w.spot = request.spot;
            w.up_at = now + between(1, 40);
            w.lease_from = w.up_at;
            w.faulty = chance(0.05);
            rentals[request.id].push_back(w.name);
            workers[w.name] = w;
        }
    if (leader != scheduler)
        return;
    if (chance(0.2))
        leader->on_rent_outcome_unknown(request.id, now);
    else
        leader->on_rented(request.id, rentals[request.id], now);
}

void simulation::delete_machines(const std::shared_ptr<control::scheduler> &leader,
                                 const std::vector<std::string> &names) {
    for (auto &name : names)
        if (auto found = workers.find(name); found != workers.end())
            found->second.alive = false;
    if (leader != scheduler)
        return;
    if (chance(0.2))
        leader->on_delete_failed(names);
    else
        leader->on_deleted(names, now);
}

void simulation::send_command(const std::string &name) {
    auto leader = scheduler;
    auto *machine = leader->find_machine(name);
    if (!machine)
        return;
    auto incarnation = machine->incarnation;
    auto commands = leader->direct_commands_for(name, now, may_renew());
    if (commands.empty())
        return;
    bool starts = std::any_of(commands.begin(), commands.end(),
                              [](auto &each) { return each.kind == command_kind::start; });
    auto message = std::make_shared<direct_message>(
        direct_message{leader, name, incarnation, leader->token(), commands, starts});
    at(now + seconds{2.5}, [this, message] {
        if (!message->settled && message->starts && message->leader == scheduler)
            message->leader->command_unresolved(message->machine, message->token,
                                                message->incarnation);
        message->settled = true;
    });
    auto arrives_at = now + (chance(0.15) ? between(1, 40) : delay());
    at(arrives_at, [this, message] { deliver_command(message); });
}

void simulation::deliver_command(const std::shared_ptr<direct_message> &message) {
    auto found = workers.find(message->machine);
    if (found == workers.end() || !found->second.alive)
        return;
    auto &worker = found->second;
    if (now < worker.inbound_partition_until)
        return;
    if (now < worker.hang_until) {
        // A hanging machine takes it up afterwards.
        at(worker.hang_until + seconds{0.01}, [this, message] { deliver_command(message); });
        return;
    }
    advance_worker(worker);
    if (message->token >= worker.token && message->incarnation == worker.incarnation) {
        worker.token = message->token;
        execute(worker, message->commands);
    }
    auto shown = make_heartbeat(worker);
    if (chance(0.1))
        return;
    at(now + delay(), [this, message, shown] {
        if (message->settled || message->leader != scheduler)
            return;
        message->settled = true;
        if (message->starts)
            message->leader->command_resolved(message->machine);
        message->leader->on_heartbeat(shown, now, true);
    });
}

bool simulation::may_renew() const {
    return membership::may_renew_lease(now, known_until, conf.lease_duration, conf.cancel_deadline);
}

bool simulation::dependent_may_run() const {
    return std::any_of(jobs.begin(), jobs.end(), [&](auto &j) {
        auto &names = j.second.job.spec.predecessors;
        return !names.empty() && std::all_of(names.begin(), names.end(),
                                             [&](auto &id) { return ended.count(id) > 0; });
    });
}

void simulation::tell_predecessor_ends() {
    if (ends_unreadable || leader_ignores_dependents || now < outage_until ||
        now < leader_refused_until)
        return;
    for (auto &id : scheduler->unresolved_predecessors())
        if (auto e = ended.find(id); e != ended.end())
            scheduler->on_predecessor_end(id, {e->second, {}}, now);
}

void simulation::notify_leader(const std::string &id) {
    auto leader = scheduler;
    at(now + between(0.01, 0.3), [this, leader, id] {
        if (leader != scheduler || !leader)
            return;
        if (now < outage_until || now < leader_refused_until) {
            auto j = jobs.find(id);
            if (j != jobs.end() && j->second.job.cancelled && !cancel_notices_lost) {
                ++by_name;
                cancel_notice notice{id, j->second.version, {}};
                if (auto told_at = j->second.cancelled_at)
                    notice.cancelled_at = wall_clock{}.to_wall(*told_at);
                leader->on_cancel(notice, now);
            }
            notify_leader_at(id, std::max(outage_until, leader_refused_until));
            return;
        }
        if (auto j = jobs.find(id); j != jobs.end() && (!leader_ignores_dependents ||
                                                        j->second.job.spec.predecessors.empty()))
            leader->on_job_record(id, j->second.job, j->second.version, now);
    });
}

void simulation::notify_leader_at(const std::string &id, time_point time) {
    at(time + seconds{0.01}, [this, id] { notify_leader(id); });
}

} // namespace spindlecroft::test
