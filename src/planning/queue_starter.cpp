// Starts queued tasks in their order while they fit or others can be preempted for them.
#include "planning/queue_starter.hpp"

namespace spindlecroft::planning {

void queue_starter::start_all(time_point now) {
    for (auto &[name, machine] : state_.machines())
        if (!machine.queue.empty() && machine.has_unchecked_queue)
            start_queued(machine, now);
}

void queue_starter::start_queued(workers::machine &machine, time_point now) {
    if (!machine.is_up || !machine.is_usable() || machine.is_silent || !machine.may_take_work(now))
        return;
    machine.has_unchecked_queue = false;
    auto load = compute_load(machine);
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
        load.free.allocate(job->spec);
        start_first(machine, *job, now);
    }
}

machine_load queue_starter::compute_load(workers::machine &machine) {
    machine_load load;
    load.free = {machine.type.cpus, machine.type.gpus, machine.type.memory_gb};
    state_.for_each_attempt(machine, [&](const catalog::job &job, catalog::attempt &attempt) {
        if (!attempt.holds_resources())
            return;
        load.free.allocate(job.spec);
        if (attempt.stop_requested)
            load.has_stopping_task = true;
        else if (job.spec.priority > priority_class::critical && attempt.possibly_running())
            load.preemptible.push_back(&attempt);
    });
    return load;
}

void queue_starter::start_first(workers::machine &machine, catalog::job &job, time_point now) {
    auto queued = machine.queue.front();
    machine.queue.pop_front();
    machine.mark_changed();
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
