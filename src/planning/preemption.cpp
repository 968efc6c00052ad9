// Which running work is stopped for other work.
#include "planning/preemption.hpp"
#include <algorithm>

namespace spindlecroft::planning {

seconds stop_grace(const job_spec &spec) {
    return spec.checkpoint_interval > seconds{} ? spec.checkpoint_duration : seconds{};
}

void preemption::begin_round() {
    candidates_collected_ = false;
    candidates_.clear();
}

// --- for guarantees ---

bidder *preemption::preempt_for_guarantee(const catalog::job &job,
                                          const std::vector<bidder *> &round_bidders,
                                          time_point now) {
    // Most of the time nobody is beyond its guarantee; then no machine need be looked at.
    if (!quota_.others_beyond_guarantee(job.spec))
        return nullptr;
    if (!candidates_collected_)
        collect_candidates(round_bidders);
    auto allowed = allowed_classes_for(state_, job);
    for (const auto &which : candidates_) {
        auto *attempt = preemptible_attempt(job.spec, which);
        if (!attempt)
            continue;
        auto *machine = bidder_for(job.spec, *attempt, allowed, now);
        if (!machine)
            continue;
        const auto &stopped = state_.find_job(which.task.job)->spec;
        quota_.task_stopping(stopped);
        preempt(*attempt, stop_grace(stopped));
        return machine;
    }
    return nullptr;
}

void preemption::collect_candidates(const std::vector<bidder *> &round_bidders) {
    candidates_collected_ = true;
    for (auto *machine : round_bidders) {
        if (!machine->machine->is_up)
            continue;
        state_.for_each_attempt(*machine->machine,
                                [&](const catalog::job &job, const catalog::attempt &running) {
                                    const auto &spec = job.spec;
                                    if (spec.shape == job_shape::array &&
                                        quota_.cpus_beyond_guarantee(spec.team) >= spec.cpus)
                                        candidates_.push_back({running.created_at, running.task});
                                });
    }
    std::stable_sort(
        candidates_.begin(), candidates_.end(),
        [](const auto &left, const auto &right) { return left.created_at > right.created_at; });
}

catalog::attempt *preemption::preemptible_attempt(const job_spec &spec, const candidate &which) {
    auto *other = state_.find_job(which.task.job);
    if (!other || other->spec.team == spec.team)
        return nullptr;
    auto found = other->current_attempts.find(which.task.index);
    if (found == other->current_attempts.end())
        return nullptr;
    auto &attempt = found->second;
    if (!attempt.possibly_running() || attempt.stop_requested)
        return nullptr;
    const auto &held = other->spec;
    if (held.cpus < spec.cpus || held.gpus < spec.gpus || held.memory_gb < spec.memory_gb)
        return nullptr;
    if (quota_.cpus_beyond_guarantee(held.team) < held.cpus)
        return nullptr;
    // Guards against work that is stopped twice: idle work that took the resources of other work
    // has to make way for the same work in turn.
    if (spec.priority == priority_class::low && held.priority != priority_class::low)
        return nullptr;
    return &attempt;
}

bidder *preemption::bidder_for(const job_spec &spec, const catalog::attempt &which,
                               const allowed_classes &allowed, time_point now) {
    auto *machine = bidders_.find(which.machine);
    if (!machine || !allowed[machine->machine_class] || !machine->machine->may_take_work(now) ||
        state_.failures().failed_on(spec.id, which.machine))
        return nullptr;
    return machine;
}

// --- for queued work of higher priority ---

bool preemption::preempt_for_queued(machine_load &load, const job_spec &spec,
                                    priority_class priority) {
    // Work of lower priority makes way for critical work, and the lowest priority for all others;
    // the last to begin loses least.
    if (priority == priority_class::low || load.has_stopping_task)
        return false;
    sort_latest_of_lowest_first(load.preemptible);
    auto free = load.free;
    std::vector<catalog::attempt *> chosen;
    for (auto *attempt : load.preemptible) {
        if (free.fits(spec))
            break;
        const auto &job = *state_.find_job(attempt->task.job);
        if (priority != priority_class::critical &&
            (job.spec.priority != priority_class::low || job.current_attempts.size() <= 1))
            continue; // the last task of a job stays: it would not begin anew for long
        free.release(job.spec);
        chosen.push_back(attempt);
    }
    if (!free.fits(spec))
        return false;
    bool at_once = true;
    for (auto *attempt : chosen) {
        seconds grace = stop_grace(state_.find_job(attempt->task.job)->spec);
        at_once = at_once && grace <= seconds{};
        preempt(*attempt, grace);
    }
    // The placement is written while the others are being stopped; the start follows the commands
    // to stop, in the same message if need be.
    if (!at_once)
        return false;
    std::erase_if(load.preemptible, [](const auto *attempt) { return attempt->stop_requested; });
    load.free = free;
    return true;
}

void preemption::sort_latest_of_lowest_first(std::vector<catalog::attempt *> &attempts) const {
    auto priority_of = [&](const catalog::attempt &which) {
        return state_.find_job(which.task.job)->spec.priority;
    };
    std::sort(attempts.begin(), attempts.end(), [&](const auto *left, const auto *right) {
        auto priority_a = priority_of(*left), priority_b = priority_of(*right);
        return priority_a != priority_b ? priority_a > priority_b
                                        : left->created_at > right->created_at;
    });
}

void preemption::preempt(catalog::attempt &which, seconds grace) {
    ++preempted_tasks_;
    state_.request_stop(which, grace);
}

} // namespace spindlecroft::planning
