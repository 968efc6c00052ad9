// The leaders of the randomized simulation: elections, loading of records, direct commands to
// workers, and the cloud that rents and deletes machines.
#include "membership/cancel_exchange.hpp"
#include "randomized_simulation.hpp"
#include "store/keys.hpp"
#include <algorithm>
#include <boost/random/uniform_real_distribution.hpp>
#include <fmt/format.h>

namespace spindlecroft::test {

void simulation::elect() {
    if (now < outage_until) { // no election without the key-value store
        schedule(outage_until + seconds{0.1}, [this] {
            if (!scheduler)
                elect();
        });
        return;
    }
    ++leaders;
    leader_refused_until = {};
    cancels_known_until = now;
    versions.clear();
    for (auto &[key, value] : kv)
        versions[key] = value.second;
    leader_token = ++revision;
    scheduler = std::make_shared<control::scheduler>(conf, types);
    scheduler->begin(now, leader_token, wall_clock{});
    // A leader of the version before dependencies skips records that it can't read.
    leader_ignores_dependents = chance(0.3) && !dependent_may_run();
    ends_unreadable = chance(0.3);
    if (ends_unreadable)
        schedule(now + random_duration(1, 20), [this] { ends_unreadable = false; });
    load_records();
    scheduler->finish_loading(now);
}

void simulation::load_records() {
    for (auto &[id, record] : jobs)
        if (!leader_ignores_dependents || record.job.spec.predecessors.empty())
            scheduler->load_job(id, record.job, record.version, now);
    report_predecessor_ends();
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
    // Other controllers report every confirmed cancel to the leader within a second, unless their
    // notices are lost.
    if (!notices_lost())
        cancels_known_until = now - 1s;
    report_predecessor_ends();
    scheduler->tick(now);
    auto leader = scheduler;
    auto write_at = now + random_duration(0.01, 0.1);
    if (chance(0.02))
        write_at += 2s;
    for (auto &write : scheduler->take_writes(now))
        schedule(write_at, [this, leader, write] { apply_write(leader, write); });
    for (auto &name : scheduler->take_urgent_machines())
        send_command(name);
    for (auto &request : scheduler->take_rental_requests(now))
        schedule(now + random_delay(), [this, leader, request] { rent(leader, request); });
    if (auto names = scheduler->take_deletions(now); !names.empty())
        schedule(now + random_delay(), [this, leader, names] { delete_machines(leader, names); });
    if (scheduler->needs_token_raise(now) && now >= outage_until && now >= leader_refused_until) {
        leader_token = ++revision;
        scheduler->set_token(leader_token);
    }
}

void simulation::rent(const std::shared_ptr<control::scheduler> &leader,
                      const rental_request &request) {
    if (!rentals.count(request.id))
        for (int count = 0; count < request.count; ++count) {
            worker agent;
            agent.name = fmt::format("i-{:04}", ++machine_count);
            agent.type = request.type;
            agent.zone = request.zone;
            agent.spot = request.spot;
            agent.up_at = now + random_duration(1, 40);
            agent.lease_from = agent.up_at;
            agent.faulty = chance(0.05);
            rentals[request.id].push_back(agent.name);
            workers[agent.name] = agent;
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
    bool contains_start = std::any_of(commands.begin(), commands.end(),
                                      [](auto &each) { return each.kind == command_kind::start; });
    auto message = std::make_shared<direct_message>(
        direct_message{leader, name, incarnation, leader->token(), commands, contains_start});
    schedule(now + seconds{2.5}, [this, message] {
        if (!message->is_resolved && message->contains_start && message->leader == scheduler)
            message->leader->command_unresolved(message->machine, message->token,
                                                message->incarnation);
        message->is_resolved = true;
    });
    auto arrives_at = now + (chance(0.15) ? random_duration(1, 40) : random_delay());
    schedule(arrives_at, [this, message] { deliver_command(message); });
}

void simulation::deliver_command(const std::shared_ptr<direct_message> &message) {
    auto found = workers.find(message->machine);
    if (found == workers.end() || !found->second.alive)
        return;
    auto &worker = found->second;
    if (now < worker.inbound_partition_until)
        return;
    if (now < worker.hang_until) {
        // A hanging machine processes the message when it continues.
        schedule(worker.hang_until + seconds{0.01}, [this, message] { deliver_command(message); });
        return;
    }
    advance_worker(worker);
    if (message->token >= worker.token && message->incarnation == worker.incarnation) {
        worker.token = message->token;
        execute(worker, message->commands);
        copy_some(*message);
    }
    if (message->is_copy)
        return;
    auto response = make_heartbeat(worker);
    if (chance(0.1))
        return;
    schedule(now + random_delay(), [this, message, response] {
        if (message->is_resolved || message->leader != scheduler)
            return;
        message->is_resolved = true;
        if (message->contains_start)
            message->leader->command_resolved(message->machine);
        message->leader->on_heartbeat(response, now, true);
    });
}

void simulation::copy_some(const direct_message &executed) {
    constexpr double copied_share = 0.4;
    constexpr double min_delay = 1, max_delay = 60; // s
    if (is_fault_free || executed.is_copy ||
        boost::random::uniform_real_distribution<double>(0, 1)(copy_random) >= copied_share)
        return;
    auto copy = std::make_shared<direct_message>(executed);
    copy->is_copy = true;
    ++command_copies;
    seconds delay{
        boost::random::uniform_real_distribution<double>(min_delay, max_delay)(copy_random)};
    schedule(now + delay, [this, copy] { deliver_command(copy); });
}

bool simulation::may_renew() const {
    return membership::may_renew_lease(now, cancels_known_until, conf.lease_duration,
                                       conf.cancel_deadline);
}

bool simulation::dependent_may_run() const {
    return std::any_of(jobs.begin(), jobs.end(), [&](auto &entry) {
        auto &names = entry.second.job.spec.predecessors;
        return !names.empty() && std::all_of(names.begin(), names.end(),
                                             [&](auto &id) { return ended.count(id) > 0; });
    });
}

void simulation::report_predecessor_ends() {
    if (ends_unreadable || leader_ignores_dependents || now < outage_until ||
        now < leader_refused_until)
        return;
    for (auto &id : scheduler->unresolved_predecessors())
        if (auto found = ended.find(id); found != ended.end())
            scheduler->on_predecessor_end(id, {found->second, {}}, now);
}

void simulation::notify_leader(const std::string &id) {
    auto leader = scheduler;
    schedule(now + random_duration(0.01, 0.3), [this, leader, id] {
        if (leader != scheduler || !leader)
            return;
        if (now < outage_until || now < leader_refused_until) {
            auto found = jobs.find(id);
            if (found != jobs.end() && found->second.job.cancelled && !notices_lost()) {
                ++cancels_by_notice;
                cancel_notice notice{id, found->second.version, {}};
                if (auto cancelled_at = found->second.cancelled_at)
                    notice.cancelled_at = wall_clock{}.to_wall(*cancelled_at);
                leader->on_cancel(notice, now);
            }
            notify_leader_at(id, std::max(outage_until, leader_refused_until));
            return;
        }
        if (auto found = jobs.find(id);
            found != jobs.end() &&
            (!leader_ignores_dependents || found->second.job.spec.predecessors.empty()))
            leader->on_job_record(id, found->second.job, found->second.version, now);
    });
}

void simulation::notify_leader_at(const std::string &id, time_point time) {
    schedule(time + seconds{0.01}, [this, id] { notify_leader(id); });
}

} // namespace spindlecroft::test
