// The clock, the event queue and the fault injection of the randomized simulation.
#include "randomized_simulation.hpp"
#include <algorithm>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>
#include <fmt/format.h>

namespace spindlecroft::test {

namespace {

constexpr seconds time_step{0.05};
constexpr seconds list_interval{5};
constexpr double share_with_faults = 0.6; // of the length of the run

} // namespace

double simulation::random_real(double from, double to) {
    return boost::random::uniform_real_distribution<double>(from, to)(random);
}

void simulation::schedule(time_point time, std::function<void()> action) {
    events.push({time, event_count++, std::move(action)});
}

void simulation::run_due_events() {
    while (!events.empty() && events.top().due_at <= now) {
        auto due = events.top();
        events.pop();
        due.action();
    }
}

void simulation::inject_store_faults() {
    if (chance(0.0004))
        outage_until = now + random_duration(1, 60);
    if (chance(0.0006)) {
        // Lost notices are repeated when the refusal ends. Another refusal that begins before must
        // neither end it earlier nor make them known.
        bool still_lost = notices_lost();
        leader_refused_until = std::max(leader_refused_until, now + random_duration(1, 60));
        cancel_notices_lost = chance(0.3) || still_lost;
    }
}

void simulation::inject_worker_faults(worker &agent) {
    if (chance(0.00004))
        agent.alive = false;
    if (chance(0.0001))
        agent.hang_until = now + random_duration(1, 40);
    if (chance(0.0001))
        agent.inbound_partition_until = now + random_duration(5, 80);
    if (chance(0.0001))
        agent.outbound_partition_until = now + random_duration(5, 80);
}

void simulation::inject_user_actions(int submitted_count) {
    if (chance(0.0015) && submitted_count > 0)
        cancel(fmt::format("job-{}", random_integer(1, submitted_count)));
    if (chance(0.001))
        cancel_a_predecessor();
}

void simulation::replace_leader() {
    scheduler.reset();
    auto back = now + random_duration(0.1, 8);
    schedule(back, [this] {
        if (!scheduler)
            elect();
    });
}

// From here on nothing fails. Services and jobs that always fail are cancelled: a service would use
// up its team's limit without end.
void simulation::stop_faults() {
    is_fault_free = true;
    ends_unreadable = false;
    outage_until = leader_refused_until = {};
    if (leader_ignores_dependents) // an upgrade to the present version is complete by now
        elect();
    std::vector<std::string> services;
    for (auto &[id, record] : jobs)
        if (record.job.spec.shape == job_shape::service || fails_everywhere(id))
            services.push_back(id);
    for (auto &id : services)
        cancel(id);
}

void simulation::list_machines() {
    std::vector<listed_machine> listed;
    for (auto &[name, agent] : workers)
        if (agent.alive)
            listed.push_back({name, "10.0.0.1:1", agent.type, agent.zone, agent.spot,
                              now >= agent.up_at ? machine_state::running : machine_state::booting,
                              1s});
    scheduler->on_machine_list(listed, now, now);
}

void simulation::run(seconds length) {
    elect();
    int submitted_count = 0;
    time_point next_job{}, next_list = test::at(5);
    const time_point end{length}, fault_free_from{length * share_with_faults};
    for (now = {}; now < end; now += time_step) {
        if (!is_fault_free && now > fault_free_from)
            stop_faults();
        run_due_events();
        inject_store_faults();
        if (now >= next_job && now >= outage_until && !is_fault_free) {
            next_job = now + random_duration(4, 16);
            submit(++submitted_count);
        }
        inject_user_actions(submitted_count);
        if (chance(0.0008))
            replace_leader();
        for (auto &[name, agent] : workers) {
            inject_worker_faults(agent);
            advance_worker(agent);
        }
        if (scheduler) {
            advance_leader();
            check_quarantine();
            if (now >= next_list) {
                next_list = now + list_interval;
                list_machines();
            }
        }
        if (!is_fault_free)
            check_cancelled();
        else if (std::fmod(test::in_seconds(now), 1.0) < 0.05)
            check_waiting_times();
    }
}

} // namespace spindlecroft::test
