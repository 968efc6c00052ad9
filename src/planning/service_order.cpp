// Computes the due times and remaining work of waiting jobs, and orders the jobs by them.
#include "planning/service_order.hpp"
#include "constants.hpp"
#include <algorithm>

namespace spindlecroft::planning {

namespace {

constexpr double unlimited_slots = 1e9;
// Average share of its run time that a running task still has to run.
constexpr double running_task_remaining_share = 0.5;

// Collects the times left until each moment by which a job should be complete.
class due_time_collector {
  public:
    due_time_collector(const catalog::job &job, time_point now)
        : waited_(now - job.ready_at), ready_delay_(job.ready_at - job.accepted_at) {}

    // Adds a limit that counts from the moment at which the job became ready.
    void add_since_ready(seconds limit) {
        if (limit > seconds{})
            due_in_.push_back(limit - waited_);
    }
    // Adds a limit that counts from the submission of the job, as deadlines do.
    void add_deadline(seconds limit) {
        if (limit > seconds{})
            due_in_.push_back(limit - ready_delay_ - waited_);
    }
    void add_time_left(seconds left) { due_in_.push_back(left); }
    [[nodiscard]] bool empty() const { return due_in_.empty(); }
    [[nodiscard]] std::vector<seconds> sorted() && {
        std::sort(due_in_.begin(), due_in_.end());
        return std::move(due_in_);
    }

  private:
    seconds waited_, ready_delay_;
    std::vector<seconds> due_in_;
};

std::vector<seconds> times_until_due(const settings::settings &settings, const catalog::job &job,
                                     seconds expected, time_point now) {
    due_time_collector due(job, now);
    auto deadline = job.spec.deadline.value_or(seconds{});
    due.add_deadline(deadline);
    if (job.inherited_first_due) {
        due.add_time_left(*job.inherited_first_due - now);
        due.add_time_left(*job.inherited_last_due - now);
    }
    // The objectives of the job's class: a job that is late for one may still meet the next.
    for (const auto &objective : settings.objectives) {
        if (objective.job_class != job.spec.job_class)
            continue;
        due.add_deadline(deadline * objective.deadline_factor);
        if (objective.time_limit > seconds{})
            due.add_since_ready(objective.kind == "wait" ? objective.time_limit + expected
                                                         : objective.time_limit);
    }
    if (due.empty())
        due.add_since_ready(constants::default_due_time);
    return std::move(due).sorted();
}

} // namespace

fairness::waiting_job make_waiting_job(const settings::settings &settings,
                                       const model::cluster_state &state, const catalog::job &job,
                                       time_point now) {
    seconds expected = state.expected_run_time(job);
    fairness::waiting_job waiting;
    waiting.due_in = times_until_due(settings, job, expected, now);
    waiting.wait_time = now - job.ready_at;
    waiting.has_started = job.reported_done_count > 0 || !job.current_attempts.empty();
    waiting.min_completion_time = expected;
    // Attempts of tasks that are done, but not yet durably, occupy no slot.
    waiting.occupied_slots = static_cast<double>(job.current_attempts.size()) -
                             static_cast<double>(job.reported_done_count - job.durable_done_count);
    waiting.remaining_work =
        expected * (job.waiting_tasks() + static_cast<double>(job.queued_on.size()) +
                    running_task_remaining_share * waiting.occupied_slots);
    return waiting;
}

double slots_for(const job_spec &spec, const std::vector<bidder *> &bidders,
                 const settings::team *team) {
    double limit = unlimited_slots;
    if (team && team->cpus_max > 0 && spec.cpus > 0)
        limit = team->cpus_max / spec.cpus;
    double slots = 0;
    for (const auto *bidder : bidders)
        slots += bidder->array_capacity.slots(spec);
    return std::min(slots, limit);
}

void order_turns(std::vector<service_turn> &turns, const settings::settings &settings,
                 const model::cluster_state &state, double slots, time_point now) {
    std::vector<fairness::waiting_job> waiting;
    waiting.reserve(turns.size());
    for (const auto &turn : turns)
        waiting.push_back(make_waiting_job(settings, state, *turn.job, now));
    std::vector<service_turn> sorted;
    for (const auto &next : fairness::serving_order(waiting, slots))
        sorted.push_back({turns[next.job].job, next.max_tasks});
    turns.assign(sorted.rbegin(), sorted.rend());
}

} // namespace spindlecroft::planning
