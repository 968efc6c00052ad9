// What a job inherits from the unfinished jobs that need it: their priority and, passed backwards
// along the chain, the time by which it should be complete. Pure.
#pragma once
#include "catalog/dependency_graph.hpp"
#include "common/time.hpp"
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace spindlecroft::fairness {

/// The earliest and the latest of the times by which a job should be complete.
struct due_times {
    time_point first{};
    time_point last{};
};

/// What is known of a job by itself.
struct job_urgency {
    priority_class priority = priority_class::normal;
    std::optional<due_times> due;
    seconds duration{}; // estimated, from its readiness to its end
};

/// What a job inherits from the jobs that need it.
struct inherited_urgency {
    priority_class priority = priority_class::low;
    std::optional<due_times> due;
    /// Takes what the job's dependent, as it stands, asks of it.
    void add_dependent(const job_urgency &dependent);
};

/// For every job that unfinished jobs need. member: nothing for a job that does not count (any
/// more).
[[nodiscard]] std::map<std::string, inherited_urgency>
inherit_urgency(const catalog::dependency_graph &graph,
                const std::function<std::optional<job_urgency>(const std::string &)> &member);

} // namespace spindlecroft::fairness
