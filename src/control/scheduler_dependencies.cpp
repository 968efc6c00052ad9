// Jobs that wait for others: readiness, cancels passed on, and what a job inherits from those that
// need it.
#include "constants.hpp"
#include "control/scheduler.hpp"
#include "fairness/chain_order.hpp"
#include <algorithm>
#include <cmath>
#include <utility>

namespace spindlecroft::control {

namespace c = constants;

// Guards against too_early and orphaned after a failover: readiness comes from durable records
// alone, and a job with a predecessor that is not known yet is neither ready nor cancelled.
void scheduler::add_dependencies(job_t &j, time_point now) {
    j.ready_at = j.accepted_at;
    if (j.spec.predecessors.empty())
        return;
    auto &id = j.spec.id;
    graph_.add(id, j.spec.predecessors);
    for (auto &predecessor : j.spec.predecessors)
        if (auto *p = state_.find_job(predecessor); p && p->cancelled)
            graph_.note_end(predecessor, {job_state::cancelled, now});
    auto stands = graph_.of(id);
    j.ready = stands == catalog::standing::ready;
    j.ready_at = now;
    if (stands == catalog::standing::cancelled)
        cancel_job(j, std::nullopt, now);
}

void scheduler::on_predecessor_end(const std::string &id, const catalog::wall_predecessor_end &end,
                                   time_point now) {
    catalog::predecessor_end steady{end.state, now};
    steady.at = end.at ? std::min(now, state_.term().clock.to_steady(*end.at)) : now;
    follow(graph_.note_end(id, steady), now);
}

// The end that we wrote ourselves.
void scheduler::note_own_end(const durable_write &end, time_point now) {
    auto record = wire::parse_ended(end.ops.back().value);
    on_predecessor_end(end.job, {record.state, record.at}, now);
}

void scheduler::follow(const catalog::dependency_graph::changes &changes, time_point now) {
    for (auto &id : changes.ready)
        if (auto *j = state_.find_job(id)) {
            j->ready = true;
            j->ready_at = std::max(j->accepted_at, graph_.find(id)->ready_at);
            state_.request_planning();
        }
    // None of them was ready, so none has a task.
    for (auto &id : changes.cancelled)
        if (auto *j = state_.find_job(id); j && !j->cancelled)
            cancel_job(*j, std::nullopt, now);
}

std::set<std::string> scheduler::unresolved_predecessors() const {
    return graph_.unresolved([&](const std::string &id) { return state_.jobs().count(id) > 0; });
}

// From its readiness to its end: fetching the image, and as many waves as its team's limit makes
// of its tasks.
seconds scheduler::chain_duration(const job_t &j) const {
    auto &s = j.spec;
    double tasks = s.tasks - j.done_seen, waves = 1;
    if (auto *team = teams_.find(s.team)) {
        if (team->cpus_max > 0)
            waves = std::max(waves, std::ceil(tasks * s.cpus / team->cpus_max));
        if (team->gpus_max > 0)
            waves = std::max(waves, std::ceil(tasks * s.gpus / team->gpus_max));
    }
    double slowest = 0; // GB/s
    for (auto &t : state_.types())
        if (planning::type_allowed(s, t.name) && t.fetch_gb_per_s > 0)
            slowest = slowest > 0 ? std::min(slowest, t.fetch_gb_per_s) : t.fetch_gb_per_s;
    seconds fetch_time{slowest > 0 ? s.image_gb / slowest : 0};
    return c::chain_stage + fetch_time + waves * c::chain_run_margin * state_.expected_run_time(j);
}

std::optional<fairness::chain_member> scheduler::chain_member_of(const std::string &id) const {
    auto *j = state_.find_job(id);
    if (!j || j->over())
        return {};
    fairness::chain_member member;
    member.priority = j->own_priority;
    member.duration = chain_duration(*j);
    if (auto own = j->spec.deadline.value_or(seconds{}); own > seconds{}) {
        seconds latest = own;
        for (auto &o : settings_.objectives)
            if (o.job_class == j->spec.job_class)
                latest = std::max(latest, own * o.times);
        member.due = fairness::due_times{j->accepted_at + own, j->accepted_at + latest};
    }
    return member;
}

void scheduler::inherit_along_chains() {
    if (graph_.nodes().empty() && inheriting_.empty())
        return;
    auto inherited =
        fairness::inherit(graph_, [this](const std::string &id) { return chain_member_of(id); });
    auto former = std::exchange(inheriting_, {});
    for (auto &[id, from] : inherited) {
        inheriting_.insert(id);
        former.erase(id);
        take_inherited(id, from);
    }
    for (auto &id : former)
        take_inherited(id, {});
}

void scheduler::take_inherited(const std::string &id, const fairness::inherited &from) {
    auto *j = state_.find_job(id);
    if (!j)
        return;
    j->inherited_first_due = from.due ? std::optional(from.due->first) : std::nullopt;
    j->inherited_last_due = from.due ? std::optional(from.due->last) : std::nullopt;
    auto priority = std::min(j->own_priority, from.priority);
    if (priority == j->spec.priority)
        return;
    j->spec.priority = priority;
    for (auto &[index, a] : j->live)
        if (auto m = state_.machines().find(a.machine); m != state_.machines().end())
            m->second.touch(); // which room its tasks leave to others depends on the priority
}

} // namespace spindlecroft::control
