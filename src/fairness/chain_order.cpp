#include "fairness/chain_order.hpp"
#include <algorithm>

namespace spindlecroft::fairness {

namespace {

// Returns the job's own urgency raised to the one that it inherits.
job_urgency combine(job_urgency own, const inherited_urgency &inherited) {
    own.priority = std::min(own.priority, inherited.priority);
    if (!inherited.due)
        return own;
    if (!own.due)
        own.due = inherited.due;
    own.due->first = std::min(own.due->first, inherited.due->first);
    own.due->last = std::min(own.due->last, inherited.due->last);
    return own;
}

} // namespace

void inherited_urgency::add_dependent(const job_urgency &dependent) {
    priority = std::min(priority, dependent.priority);
    if (!dependent.due)
        return;
    due_times earlier{dependent.due->first - dependent.duration,
                      dependent.due->last - dependent.duration};
    if (!due)
        due = earlier;
    due->first = std::min(due->first, earlier.first);
    due->last = std::min(due->last, earlier.last);
}

std::map<std::string, inherited_urgency>
inherit_urgency(const catalog::dependency_graph &graph,
                const std::function<std::optional<job_urgency>(const std::string &)> &urgency_of) {
    // Visits each job once, after all of its dependents.
    std::map<std::string, inherited_urgency> inherited_by_job;
    std::map<std::string, std::size_t> dependents_left;
    std::vector<std::string> ready_to_visit;
    for (const auto &[job, node] : graph.nodes()) {
        for (const auto &predecessor : node.predecessors)
            ++dependents_left[predecessor];
        if (graph.dependents(job).empty())
            ready_to_visit.push_back(job);
    }
    while (!ready_to_visit.empty()) {
        auto job = std::move(ready_to_visit.back());
        ready_to_visit.pop_back();
        auto own = urgency_of(job);
        auto inherited = inherited_by_job.find(job);
        if (own && inherited != inherited_by_job.end())
            own = combine(*own, inherited->second);
        for (const auto &predecessor : graph.find(job)->predecessors) {
            if (own && !graph.end_of(predecessor))
                inherited_by_job[predecessor].add_dependent(*own);
            if (--dependents_left[predecessor] == 0 && graph.find(predecessor))
                ready_to_visit.push_back(predecessor);
        }
    }
    return inherited_by_job;
}

} // namespace spindlecroft::fairness
