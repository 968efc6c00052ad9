// Inheritance of urgency along chains of dependent jobs: a job inherits the priority of the
// unfinished jobs that depend on it, and due times early enough for them to meet their own. Pure
// functions.
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

/// The urgency of a job without regard to its dependents.
struct job_urgency {
    priority_class priority = priority_class::normal;
    std::optional<due_times> due;
    /// Estimated time from the job's readiness to its end.
    seconds duration{};
};

/// The urgency that a job inherits from its dependents.
struct inherited_urgency {
    priority_class priority = priority_class::low;
    std::optional<due_times> due;
    /// Adds the urgency of a dependent. It includes what the dependent inherits itself.
    void add_dependent(const job_urgency &dependent);
};

/// Returns the inherited urgency of every job that has unfinished dependents. urgency_of returns
/// the urgency of a job, or nothing if the job is unknown or over and passes nothing on.
[[nodiscard]] std::map<std::string, inherited_urgency>
inherit_urgency(const catalog::dependency_graph &graph,
                const std::function<std::optional<job_urgency>(const std::string &)> &urgency_of);

} // namespace spindlecroft::fairness
