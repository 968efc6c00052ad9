// The clock, the events and the faults of the randomized simulation.
#include "randomized_simulation.hpp"
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>
#include <fmt/format.h>

namespace spindlecroft::test {

namespace {

constexpr seconds time_step{0.05};
constexpr seconds list_interval{5};
constexpr double share_with_faults = 0.6; // of the whole length

} // namespace

double simulation::real(double from, double to) {
    return boost::random::uniform_real_distribution<double>(from, to)(random);
}

void simulation::at(time_point time, std::function<void()> action) {
    events.push({time, event_count++, std::move(action)});
}

void simulation::run_due_events() {
    while (!events.empty() && events.top().at <= now) {
        auto due = events.top();
        events.pop();
        due.action();
    }
}

void simulation::inject_store_faults() {
    if (chance(0.0004))
        outage_until = now + between(1, 60);
    if (chance(0.0006)) {
        leader_refused_until = now + between(1, 60);
        cancel_notices_lost = chance(0.3);
    }
}

void simulation::inject_worker_faults(worker &w) {
    if (chance(0.00004))
        w.alive = false;
    if (chance(0.0001))
        w.hang_until = now + between(1, 40);
    if (chance(0.0001))
        w.inbound_partition_until = now + between(5, 80);
    if (chance(0.0001))
        w.outbound_partition_until = now + between(5, 80);
}

void simulation::inject_user_actions(int submitted_count) {
    if (chance(0.0015) && submitted_count > 0)
        cancel(fmt::format("job-{}", integer(1, submitted_count)));
    if (chance(0.001))
        cancel_a_predecessor();
}

void simulation::replace_leader() {
    scheduler.reset();
    auto back = now + between(0.1, 8);
    at(back, [this] {
        if (!scheduler)
            elect();
    });
}

// From here on nothing fails, and no service holds a team's limit for ever.
void simulation::begin_calm() {
    calm = true;
    ends_unreadable = false;
    outage_until = leader_refused_until = {};
    if (leader_ignores_dependents) // all are replaced by now
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
    for (auto &[name, w] : workers)
        if (w.alive)
            listed.push_back({name, "10.0.0.1:1", w.type, w.zone, w.spot,
                              now >= w.up_at ? machine_state::running : machine_state::booting,
                              1s});
    scheduler->on_machine_list(listed, now, now);
}

void simulation::run(seconds length) {
    elect();
    int submitted_count = 0;
    time_point next_job{}, next_list = test::at(5);
    const time_point end{length}, calm_from{length * share_with_faults};
    for (now = {}; now < end; now += time_step) {
        if (!calm && now > calm_from)
            begin_calm();
        run_due_events();
        inject_store_faults();
        if (now >= next_job && now >= outage_until && !calm) {
            next_job = now + between(4, 16);
            submit(++submitted_count);
        }
        inject_user_actions(submitted_count);
        if (chance(0.0008))
            replace_leader();
        for (auto &[name, w] : workers) {
            inject_worker_faults(w);
            advance_worker(w);
        }
        if (scheduler) {
            advance_leader();
            check_blame();
            if (now >= next_list) {
                next_list = now + list_interval;
                list_machines();
            }
        }
        if (!calm)
            check_cancelled();
        else if (std::fmod(test::in_seconds(now), 1.0) < 0.05)
            check_waits();
    }
}

} // namespace spindlecroft::test
