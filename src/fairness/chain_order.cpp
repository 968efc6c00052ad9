#include "fairness/chain_order.hpp"
#include <algorithm>

namespace spindlecroft::fairness {

namespace {

// The job's own values together with those that it inherits.
job_urgency combined(job_urgency own, const inherited_urgency &from) {
    own.priority = std::min(own.priority, from.priority);
    if (!from.due)
        return own;
    if (!own.due)
        own.due = from.due;
    own.due->first = std::min(own.due->first, from.due->first);
    own.due->last = std::min(own.due->last, from.due->last);
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
                const std::function<std::optional<job_urgency>(const std::string &)> &member) {
    // Each job is visited once, after all that need it.
    std::map<std::string, inherited_urgency> inherited_by_job;
    std::map<std::string, std::size_t> dependents_left;
    std::vector<std::string> open;
    for (const auto &[job, node] : graph.nodes()) {
        for (const auto &predecessor : node.predecessors)
            ++dependents_left[predecessor];
        if (graph.dependents(job).empty())
            open.push_back(job);
    }
    while (!open.empty()) {
        auto job = std::move(open.back());
        open.pop_back();
        auto own = member(job);
        auto from = inherited_by_job.find(job);
        if (own && from != inherited_by_job.end())
            own = combined(*own, from->second);
        for (const auto &predecessor : graph.find(job)->predecessors) {
            if (own && !graph.end_of(predecessor))
                inherited_by_job[predecessor].add_dependent(*own);
            if (--dependents_left[predecessor] == 0 && graph.find(predecessor))
                open.push_back(predecessor);
        }
    }
    return inherited_by_job;
}

} // namespace spindlecroft::fairness
