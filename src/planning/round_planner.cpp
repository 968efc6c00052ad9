// Runs the steps of a planning round.
#include "planning/round_planner.hpp"
#include "constants.hpp"
#include <algorithm>
#include <array>

namespace spindlecroft::planning {

namespace {

constexpr std::array by_priority{priority_class::critical, priority_class::high,
                                 priority_class::normal, priority_class::low};

// Orders the teams for the next turn: first those within their guarantee, then those that use the
// smallest part of their share.
struct team_rank {
    bool is_beyond_guarantee = false;
    double share_used = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted operator<=>.
    auto operator<=>(const team_rank &) const = default;
};

} // namespace

round_planner::round_planner(const settings::settings &settings, model::cluster_state &state,
                             attempt_created_callback on_created)
    : settings_(settings), state_(state), quota_(settings, state), bidders_(settings, state),
      preemption_(state, quota_, bidders_), starter_(state, preemption_, std::move(on_created)) {}

// All queued tasks are bid for again. When only as many as fit on the idle machines were bid for
// again, replicas stayed in the queues of machines that booted late, and the queues no longer
// followed their team's order.
void round_planner::rebid_queued(time_point now) {
    if (!elapsed(last_rebid_, constants::min_rebid_interval, now) ||
        !has_idle_machine_while_tasks_wait())
        return;
    last_rebid_ = now;
    for (auto &[name, machine] : state_.machines())
        if (!machine.queue.empty())
            state_.clear_queue(machine);
}

bool round_planner::has_idle_machine_while_tasks_wait() const {
    bool has_waiting = false, has_idle = false;
    for (const auto &[name, machine] : state_.machines()) {
        if (!machine.queue.empty())
            has_waiting = true;
        else if (machine.is_up && machine.is_usable() && !machine.is_silent)
            has_idle = true;
    }
    return has_waiting && has_idle;
}

void round_planner::plan(time_point now) {
    quota_.begin_round();
    preemption_.begin_round();
    bid_round round(state_, bidders_.eligible_bidders(now));
    int turns_taken = 0;
    for (auto priority : by_priority)
        place_waiting_tasks(priority, round, turns_taken, now);
    starter_.start_all(now);
}

void round_planner::place_waiting_tasks(priority_class priority, bid_round &round, int &turns_taken,
                                        time_point now) {
    auto teams = collect_turns(priority, round, now);
    while (!teams.empty()) {
        if (++turns_taken > constants::max_bids_per_round) {
            state_.request_planning();
            return;
        }
        auto team = next_team(teams);
        auto &turns = team->second;
        auto &turn = turns.back();
        auto &job = *turn.job;
        bool placed = quota_.teams().within_limit(job.spec) && may_place(state_, job, now) &&
                      place_one(job, round, now);
        if (!placed || job.waiting_tasks() == 0 || --turn.max_tasks == 0)
            turns.pop_back();
        if (turns.empty())
            teams.erase(team);
    }
}

round_planner::turns_by_team round_planner::collect_turns(priority_class priority,
                                                          const bid_round &round, time_point now) {
    turns_by_team teams;
    for (auto &[id, job] : state_.jobs())
        if (job.spec.priority == priority && may_place(state_, job, now))
            teams[job.spec.team].push_back({&job, fairness::all_tasks});
    for (auto &[name, turns] : teams) {
        if (turns.size() < 2)
            continue;
        double slots =
            slots_for(turns.front().job->spec, round.bidders(), quota_.teams().find(name));
        order_turns(turns, settings_, state_, slots, now);
    }
    return teams;
}

round_planner::turns_by_team::iterator round_planner::next_team(turns_by_team &teams) const {
    auto first = teams.end();
    team_rank best;
    for (auto team = teams.begin(); team != teams.end(); ++team) {
        const auto &spec = team->second.back().job->spec;
        team_rank rank{!quota_.teams().within_guarantee(spec),
                       quota_.teams().share_used(team->first)};
        if (first == teams.end() || rank < best) {
            first = team;
            best = rank;
        }
    }
    return first;
}

// Adds the task to the winner's queue, where the next bids of the same round include it.
bool round_planner::place_one(catalog::job &job, bid_round &round, time_point now) {
    if (job.waiting_tasks() == 0)
        return false;
    auto target = choose_machine(job, round, now);
    if (!target)
        return false;
    std::uint32_t index = 0;
    if (!job.pop_waiting_task(index))
        return false;
    auto &winner = *target->bidder;
    seconds estimate =
        state_.expected_run_time(job) / std::max(winner.machine->speed, constants::min_speed);
    enqueue(*target, job, index, estimate);
    round.task_queued(winner, job, estimate);
    quota_.task_queued(job.spec);
    return true;
}

std::optional<round_planner::placement>
round_planner::choose_machine(const catalog::job &job, bid_round &round, time_point now) {
    auto best = round.best_bid(job, now);
    bool waits_too_long = !best || best->queue_time > constants::max_guarantee_wait;
    // A guaranteed task that would wait too long for a machine may preempt a task of another team.
    if (waits_too_long && job.guaranteed && quota_.teams().within_guarantee(job.spec))
        if (auto *bidder = preemption_.preempt_for_guarantee(job, round.bidders(), now))
            return placement{bidder, true};
    if (!best)
        return {};
    return placement{best->bidder, false};
}

void round_planner::enqueue(const placement &target, catalog::job &job, std::uint32_t index,
                            seconds estimate) {
    const auto &spec = job.spec;
    auto &machine = *target.bidder->machine;
    // Higher priority goes first, and tasks of equal priority are first in, first out, except that
    // a task for which another was preempted goes ahead of its equals.
    auto position =
        std::find_if(machine.queue.begin(), machine.queue.end(), [&](const auto &queued) {
            return target.ahead_of_equals ? queued.priority >= spec.priority
                                          : queued.priority > spec.priority;
        });
    machine.queue.insert(position, workers::queued_task{{spec.id, index}, spec.priority, estimate});
    machine.has_unchecked_queue = true;
    job.queued_on[index] = machine.name;
}

} // namespace spindlecroft::planning
