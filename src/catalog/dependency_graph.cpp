#include "catalog/dependency_graph.hpp"
#include <algorithm>

namespace spindlecroft::catalog {

void dependency_graph::add(const std::string &job, const std::vector<std::string> &predecessors) {
    auto [i, fresh] = nodes_.try_emplace(job);
    if (!fresh)
        return;
    auto &added = i->second;
    added.predecessors = predecessors;
    added.not_done = predecessors.size();
    bool cancelled = false;
    for (auto &predecessor : predecessors) {
        dependents_[predecessor].insert(job);
        auto end = ends_.find(predecessor);
        if (end != ends_.end() && end->second.state == job_state::done) {
            --added.not_done;
            added.ready_at = std::max(added.ready_at, end->second.at);
        }
        cancelled = cancelled || (end != ends_.end() && end->second.state == job_state::cancelled);
        cancelled = cancelled || of(predecessor) == standing::cancelled;
    }
    if (cancelled) {
        changes ignored;
        cancel_from({job}, ignored);
    }
}

void dependency_graph::remove(const std::string &job) {
    auto i = nodes_.find(job);
    if (i == nodes_.end())
        return;
    for (auto &predecessor : i->second.predecessors) {
        auto d = dependents_.find(predecessor);
        d->second.erase(job);
        if (!d->second.empty())
            continue;
        dependents_.erase(d);
        ends_.erase(predecessor);
    }
    nodes_.erase(i);
}

void dependency_graph::clear() {
    nodes_.clear();
    dependents_.clear();
    ends_.clear();
}

// Iterative, since a chain may be of any length.
void dependency_graph::cancel_from(std::vector<std::string> jobs, changes &out) {
    while (!jobs.empty()) {
        auto job = std::move(jobs.back());
        jobs.pop_back();
        auto i = nodes_.find(job);
        if (i == nodes_.end() || i->second.cancelled)
            continue;
        i->second.cancelled = true;
        auto &next = dependents(job);
        jobs.insert(jobs.end(), next.begin(), next.end());
        out.cancelled.push_back(std::move(job));
    }
}

dependency_graph::changes dependency_graph::note_end(const std::string &predecessor,
                                                     const predecessor_end &end) {
    changes out;
    auto d = dependents_.find(predecessor);
    if (d == dependents_.end() || !ends_.try_emplace(predecessor, end).second)
        return out;
    if (end.state == job_state::cancelled) {
        cancel_from({d->second.begin(), d->second.end()}, out);
        return out;
    }
    for (auto &job : d->second) {
        auto &dependent = nodes_.at(job);
        dependent.ready_at = std::max(dependent.ready_at, end.at);
        if (--dependent.not_done == 0 && !dependent.cancelled)
            out.ready.push_back(job);
    }
    return out;
}

standing dependency_graph::of(const std::string &job) const {
    auto *found = find(job);
    if (!found)
        return standing::ready;
    if (found->cancelled)
        return standing::cancelled;
    return found->not_done == 0 ? standing::ready : standing::waiting;
}

const dependency_graph::node *dependency_graph::find(const std::string &job) const {
    auto i = nodes_.find(job);
    return i == nodes_.end() ? nullptr : &i->second;
}

const std::set<std::string> &dependency_graph::dependents(const std::string &job) const {
    static const std::set<std::string> none;
    auto i = dependents_.find(job);
    return i == dependents_.end() ? none : i->second;
}

const predecessor_end *dependency_graph::end_of(const std::string &predecessor) const {
    auto i = ends_.find(predecessor);
    return i == ends_.end() ? nullptr : &i->second;
}

std::set<std::string> dependency_graph::unresolved(const active_test &active) const {
    std::set<std::string> out;
    for (auto &[predecessor, jobs] : dependents_)
        if (!ends_.count(predecessor) && !active(predecessor))
            out.insert(predecessor);
    return out;
}

std::set<std::string> dependency_graph::unresolved_for(const std::string &job,
                                                       const active_test &active) const {
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

} // namespace spindlecroft::catalog
