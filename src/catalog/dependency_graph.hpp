// The dependency graph of the active jobs.
//
// Whether a job is ready, or cancelled together with a predecessor, is a pure function of durable
// records: its own and those of its predecessors. "Done" and "cancelled" are final and mutually
// exclusive, so every controller computes the same result, regardless of when and in which order it
// reads the records. The graph is acyclic: a job names only jobs that were accepted before it, and
// the list in its record is never extended.
#pragma once
#include "common/time.hpp"
#include "wire/types.hpp"
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace spindlecroft::catalog {

// How and when a predecessor ended. An active job whose record is marked as cancelled counts as
// ended.
template <class Time>
struct basic_predecessor_end {
    job_state state = job_state::done; // done or cancelled
    std::optional<Time> at;            // nullopt: unknown
};

// The status of a job as far as its predecessors determine it.
enum class dependency_status {
    ready,     // every predecessor is known to be done
    waiting,   // some predecessor isn't known to have ended
    cancelled, // a direct or indirect predecessor was cancelled
};

// Jobs whose dependency status changed.
struct dependency_changes {
    std::vector<std::string> ready;     // the last predecessor is done now
    std::vector<std::string> cancelled; // together with a predecessor
};

// Time: the type of time points in which the ends are recorded (steady clock or wall clock).
template <class Time>
class basic_dependency_graph {
  public:
    using predecessor_end = basic_predecessor_end<Time>;
    using changes = dependency_changes;
    // Returns whether a job has an active record.
    using is_active_predicate = std::function<bool(const std::string &)>;

    // An active job with predecessors.
    struct node {
        std::vector<std::string> predecessors;
        std::size_t unfinished_predecessors = 0; // not known to be done
        bool cancelled = false;
        Time ready_at{}; // the latest known end of a predecessor
    };

    // Adds an active job with predecessors; a repeated call has no effect. The caller then calls
    // note_end() for the predecessors whose ends it knows.
    void add(const std::string &job, const std::vector<std::string> &predecessors);
    // Removes a job whose record is no longer active or no longer names predecessors.
    void remove(const std::string &job);
    void clear();
    // Records how a job ended, and returns the jobs whose status changes. Only the first call for a
    // job counts. The end of a job without dependents isn't stored.
    changes note_end(const std::string &predecessor, const predecessor_end &end);

    // Returns the status of a job. A job that isn't in the graph is ready.
    [[nodiscard]] dependency_status status_of(const std::string &job) const;
    // Returns null if the job isn't in the graph.
    [[nodiscard]] const node *find(const std::string &job) const;
    [[nodiscard]] const std::map<std::string, node> &nodes() const { return nodes_; }
    // Returns the jobs that name this one as a predecessor.
    [[nodiscard]] const std::set<std::string> &dependents(const std::string &job) const;
    // Returns null if the job isn't known to have ended or has no dependents.
    [[nodiscard]] const predecessor_end *end_of(const std::string &predecessor) const;
    // Returns the predecessors of any job that are neither active nor known to have ended.
    [[nodiscard]] std::set<std::string> unresolved(const is_active_predicate &active) const;
    // Returns the same for one job and its direct and indirect predecessors.
    [[nodiscard]] std::set<std::string> unresolved_for(const std::string &job,
                                                       const is_active_predicate &active) const;

  private:
    // Counts a predecessor of the job as done.
    static void count_done(node &dependent, const predecessor_end &end);
    // Marks the jobs and all their direct and indirect dependents as cancelled.
    void cancel_with_dependents(std::vector<std::string> jobs, changes &out);
    std::map<std::string, node> nodes_;
    std::map<std::string, std::set<std::string>> dependents_; // by predecessor
    std::map<std::string, predecessor_end> ends_;             // of jobs with dependents
};

// With times of this process's steady clock.
using dependency_graph = basic_dependency_graph<time_point>;
using predecessor_end = basic_predecessor_end<time_point>;
// With times of the wall clock.
using wall_dependency_graph = basic_dependency_graph<wall_time>;
using wall_predecessor_end = basic_predecessor_end<wall_time>;

} // namespace spindlecroft::catalog
