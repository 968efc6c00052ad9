// From worker queues to attempts.
#include "planning/queue_starter.hpp"

namespace spindlecroft::planning {

void queue_starter::start_all(time_point now) {
    for (auto &[name, machine] : state_.machines())
        if (!machine.queue.empty() && machine.startable)
            start_queued(machine, now);
}

void queue_starter::start_queued(workers::machine &machine, time_point now) {
    if (!machine.up || !machine.usable() || machine.silent || !machine.takes_work(now))
        return;
    machine.startable = false;
    auto load = load_of(machine);
    while (!machine.queue.empty()) {
        const auto &next = machine.queue.front();
        auto *job = state_.find_job(next.task.job);
        if (!job || job->is_closed()) {
            machine.queue.pop_front();
            continue;
        }
        if (!load.free.fits(job->spec) &&
            !preemption_.preempt_for_queued(load, job->spec, next.priority))
            return;
        load.free.take(job->spec);
        start_front(machine, *job, now);
    }
}

machine_load queue_starter::load_of(workers::machine &machine) {
    machine_load load;
    load.free = {machine.type.cpus, machine.type.gpus, machine.type.memory_gb};
    state_.for_each_attempt(machine, [&](const catalog::job &job, catalog::attempt &held) {
        if (!held.holds_resources())
            return;
        load.free.take(job.spec);
        if (held.stop_requested)
            load.stopping = true;
        else if (job.spec.priority > priority_class::critical && held.possibly_running())
            load.stoppable.push_back(&held);
    });
    return load;
}

void queue_starter::start_front(workers::machine &machine, catalog::job &job, time_point now) {
    auto queued = machine.queue.front();
    machine.queue.pop_front();
    machine.touch();
    job.queued_on.erase(queued.task.index);
    catalog::attempt created;
    created.task = queued.task;
    created.number = state_.next_attempt_number();
    created.machine = machine.name;
    created.created_at = now;
    created.expected_run_time = queued.estimate;
    machine.idle_since = now;
    state_.add_attempt(job, std::move(created));
    on_created_(queued.task, job.spec.shape);
}

} // namespace spindlecroft::planning
