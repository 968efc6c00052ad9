// Selects the running tasks that are preempted, and requests their stop.
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

// --- preemption for guarantees ---

bidder *preemption::preempt_for_guarantee(const catalog::job &job,
                                          const std::vector<bidder *> &round_bidders,
                                          time_point now) {
    // Usually no team is beyond its guarantee, and no machine has to be examined.
    if (!quota_.others_beyond_guarantee(job.spec))
        return nullptr;
    if (!candidates_collected_)
        collect_candidates(round_bidders);
    auto allowed = allowed_classes_for(state_, job);
    for (const auto &victim : candidates_) {
        auto *attempt = preemptible_attempt(job.spec, victim);
        if (!attempt)
            continue;
        auto *bidder = bidder_for(job.spec, *attempt, allowed, now);
        if (!bidder)
            continue;
        const auto &stopped = state_.find_job(victim.task.job)->spec;
        quota_.task_stopping(stopped);
        preempt(*attempt, stop_grace(stopped));
        return bidder;
    }
    return nullptr;
}

void preemption::collect_candidates(const std::vector<bidder *> &round_bidders) {
    candidates_collected_ = true;
    for (auto *bidder : round_bidders) {
        if (!bidder->machine->is_up)
            continue;
        state_.for_each_attempt(*bidder->machine,
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

catalog::attempt *preemption::preemptible_attempt(const job_spec &spec, const candidate &victim) {
    auto *other = state_.find_job(victim.task.job);
    if (!other || other->spec.team == spec.team)
        return nullptr;
    auto found = other->current_attempts.find(victim.task.index);
    if (found == other->current_attempts.end())
        return nullptr;
    auto &attempt = found->second;
    if (!attempt.possibly_running() || attempt.stop_requested)
        return nullptr;
    const auto &victim_spec = other->spec;
    if (victim_spec.cpus < spec.cpus || victim_spec.gpus < spec.gpus ||
        victim_spec.memory_gb < spec.memory_gb)
        return nullptr;
    if (quota_.cpus_beyond_guarantee(victim_spec.team) < victim_spec.cpus)
        return nullptr;
    // A job of low priority preempts only low priority: the tasks it displaced would preempt it in
    // turn, and the work would be stopped twice.
    if (spec.priority == priority_class::low && victim_spec.priority != priority_class::low)
        return nullptr;
    return &attempt;
}

bidder *preemption::bidder_for(const job_spec &spec, const catalog::attempt &victim,
                               const allowed_classes &allowed, time_point now) {
    auto *bidder = bidders_.find(victim.machine);
    if (!bidder || !allowed[bidder->machine_class] || !bidder->machine->may_take_work(now) ||
        state_.failures().failed_on(spec.id, victim.machine))
        return nullptr;
    return bidder;
}

// --- preemption for queued tasks of higher priority ---

bool preemption::preempt_for_queued(machine_load &load, const job_spec &spec,
                                    priority_class priority) {
    // Critical tasks preempt all lower priorities, other tasks only low priority. The latest task
    // goes first, since it loses the least progress.
    if (priority == priority_class::low || load.has_stopping_task)
        return false;
    sort_latest_of_lowest_first(load.preemptible);
    auto free = load.free;
    std::vector<catalog::attempt *> victims;
    for (auto *attempt : load.preemptible) {
        if (free.fits(spec))
            break;
        const auto &job = *state_.find_job(attempt->task.job);
        if (priority != priority_class::critical &&
            (job.spec.priority != priority_class::low || job.current_attempts.size() <= 1))
            continue; // The last running task of a job stays: it would not restart for a long time.
        free.release(job.spec);
        victims.push_back(attempt);
    }
    if (!free.fits(spec))
        return false;
    bool is_immediate = true;
    for (auto *attempt : victims) {
        seconds grace = stop_grace(state_.find_job(attempt->task.job)->spec);
        is_immediate = is_immediate && grace <= seconds{};
        preempt(*attempt, grace);
    }
    // Without grace periods, the placement is written while the others are being stopped. The start
    // command follows the stop commands, in the same message if necessary.
    if (!is_immediate)
        return false;
    std::erase_if(load.preemptible, [](const auto *attempt) { return attempt->stop_requested; });
    load.free = free;
    return true;
}

void preemption::sort_latest_of_lowest_first(std::vector<catalog::attempt *> &attempts) const {
    auto priority_of = [&](const catalog::attempt &attempt) {
        return state_.find_job(attempt.task.job)->spec.priority;
    };
    std::sort(attempts.begin(), attempts.end(), [&](const auto *left, const auto *right) {
        auto left_priority = priority_of(*left), right_priority = priority_of(*right);
        return left_priority != right_priority ? left_priority > right_priority
                                               : left->created_at > right->created_at;
    });
}

void preemption::preempt(catalog::attempt &victim, seconds grace) {
    ++preempted_tasks_;
    state_.request_stop(victim, grace);
}

} // namespace spindlecroft::planning
