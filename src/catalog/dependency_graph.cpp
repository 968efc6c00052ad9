#include "catalog/dependency_graph.hpp"
#include <algorithm>

namespace spindlecroft::catalog {

template <class Time>
void basic_dependency_graph<Time>::add(const std::string &job,
                                       const std::vector<std::string> &predecessors) {
    auto [entry, inserted] = nodes_.try_emplace(job);
    if (!inserted)
        return;
    auto &added = entry->second;
    added.predecessors = predecessors;
    added.unfinished_predecessors = predecessors.size();
    bool cancelled = false;
    for (auto &predecessor : predecessors) {
        dependents_[predecessor].insert(job);
        auto *end = end_of(predecessor);
        if (end && end->state == job_state::done)
            count_done(added, *end);
        cancelled = cancelled || (end && end->state == job_state::cancelled) ||
                    status_of(predecessor) == dependency_status::cancelled;
    }
    if (cancelled) {
        changes ignored;
        cancel_with_dependents({job}, ignored);
    }
}

template <class Time>
void basic_dependency_graph<Time>::count_done(node &dependent, const predecessor_end &end) {
    --dependent.unfinished_predecessors;
    if (end.at)
        dependent.ready_at = std::max(dependent.ready_at, *end.at);
}

template <class Time>
void basic_dependency_graph<Time>::remove(const std::string &job) {
    auto removed = nodes_.find(job);
    if (removed == nodes_.end())
        return;
    for (auto &predecessor : removed->second.predecessors) {
        auto waiting = dependents_.find(predecessor);
        waiting->second.erase(job);
        if (!waiting->second.empty())
            continue;
        dependents_.erase(waiting);
        ends_.erase(predecessor);
    }
    nodes_.erase(removed);
}

template <class Time>
void basic_dependency_graph<Time>::clear() {
    nodes_.clear();
    dependents_.clear();
    ends_.clear();
}

// Iterative, because a chain of dependents may be of any length.
template <class Time>
void basic_dependency_graph<Time>::cancel_with_dependents(std::vector<std::string> jobs,
                                                          changes &out) {
    while (!jobs.empty()) {
        auto job = std::move(jobs.back());
        jobs.pop_back();
        auto found = nodes_.find(job);
        if (found == nodes_.end() || found->second.cancelled)
            continue;
        found->second.cancelled = true;
        auto &next = dependents(job);
        jobs.insert(jobs.end(), next.begin(), next.end());
        out.cancelled.push_back(std::move(job));
    }
}

template <class Time>
dependency_changes basic_dependency_graph<Time>::note_end(const std::string &predecessor,
                                                          const predecessor_end &end) {
    changes out;
    auto waiting = dependents_.find(predecessor);
    if (waiting == dependents_.end() || !ends_.try_emplace(predecessor, end).second)
        return out;
    if (end.state == job_state::cancelled) {
        cancel_with_dependents({waiting->second.begin(), waiting->second.end()}, out);
        return out;
    }
    for (auto &job : waiting->second) {
        auto &dependent = nodes_.at(job);
        count_done(dependent, end);
        if (dependent.unfinished_predecessors == 0 && !dependent.cancelled)
            out.ready.push_back(job);
    }
    return out;
}

template <class Time>
dependency_status basic_dependency_graph<Time>::status_of(const std::string &job) const {
    auto *found = find(job);
    if (!found)
        return dependency_status::ready;
    if (found->cancelled)
        return dependency_status::cancelled;
    return found->unfinished_predecessors == 0 ? dependency_status::ready
                                               : dependency_status::waiting;
}

template <class Time>
const typename basic_dependency_graph<Time>::node *
basic_dependency_graph<Time>::find(const std::string &job) const {
    auto found = nodes_.find(job);
    return found == nodes_.end() ? nullptr : &found->second;
}

template <class Time>
const std::set<std::string> &
basic_dependency_graph<Time>::dependents(const std::string &job) const {
    static const std::set<std::string> none;
    auto found = dependents_.find(job);
    return found == dependents_.end() ? none : found->second;
}

template <class Time>
const basic_predecessor_end<Time> *
basic_dependency_graph<Time>::end_of(const std::string &predecessor) const {
    auto found = ends_.find(predecessor);
    return found == ends_.end() ? nullptr : &found->second;
}

template <class Time>
std::set<std::string>
basic_dependency_graph<Time>::unresolved(const is_active_predicate &active) const {
    std::set<std::string> out;
    for (auto &[predecessor, jobs] : dependents_)
        if (!ends_.count(predecessor) && !active(predecessor))
            out.insert(predecessor);
    return out;
}

template <class Time>
std::set<std::string>
basic_dependency_graph<Time>::unresolved_for(const std::string &job,
                                             const is_active_predicate &active) const {
    std::set<std::string> out, seen{job};
    std::vector<std::string> open{job};
    while (!open.empty()) {
        auto *found = find(open.back());
        open.pop_back();
        if (!found || found->cancelled)
            continue;
        for (auto &predecessor : found->predecessors) {
            if (ends_.count(predecessor) || !seen.insert(predecessor).second)
                continue;
            if (active(predecessor))
                open.push_back(predecessor);
            else
                out.insert(predecessor);
        }
    }
    return out;
}

template class basic_dependency_graph<time_point>;
template class basic_dependency_graph<wall_time>;

} // namespace spindlecroft::catalog
