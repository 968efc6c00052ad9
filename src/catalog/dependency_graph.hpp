// Which jobs wait for which, and what follows from how those ended.
//
// Whether a job is ready or cancelled with a predecessor is a pure function of durable records: its
// own and those of its predecessors. "Done" and "cancelled" are final and exclude each other, so
// every controller comes to the same answer, whenever and in whatever order it reads the records.
// There are no cycles: a job names only jobs that were accepted before it, and its record's list is
// never extended.
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

// How a predecessor ended. An active job whose record says that it is cancelled counts as ended.
template <class Time>
struct basic_predecessor_end {
    job_state state = job_state::done; // done or cancelled
    std::optional<Time> at;            // nothing: unknown
};

enum class dependency_status {
    ready,     // every predecessor is known to be done
    waiting,   // for a predecessor that is not known to have ended
    cancelled, // with a predecessor, direct or not
};

// Jobs whose standing changed.
struct dependency_changes {
    std::vector<std::string> ready;     // their last predecessor is done now
    std::vector<std::string> cancelled; // with a predecessor
};

// Time: a moment on the clock of whoever notes the ends.
template <class Time>
class basic_dependency_graph {
  public:
    using predecessor_end = basic_predecessor_end<Time>;
    using changes = dependency_changes;
    // Whether a job has an active record.
    using is_active_predicate = std::function<bool(const std::string &)>;

    // A job that is active and has predecessors.
    struct node {
        std::vector<std::string> predecessors;
        std::size_t unfinished_predecessors = 0; // predecessors that are not known to be done
        bool cancelled = false;
        Time ready_at{}; // the last known end of a predecessor
    };

    // An active job with predecessors. Adding it again changes nothing. The ends of its
    // predecessors that the caller knows are to be noted afterwards.
    void add(const std::string &job, const std::vector<std::string> &predecessors);
    // The job's record is not active any more, or names no predecessors now.
    void remove(const std::string &job);
    void clear();
    // Notes how a job ended; the first word of it stands. Returns the jobs whose standing changed
    // with it. What is noted about a job that nobody waits for is not kept.
    changes note_end(const std::string &predecessor, const predecessor_end &end);

    // The standing of a job. One that is not in the graph is ready.
    [[nodiscard]] dependency_status status_of(const std::string &job) const;
    // Nothing: the job is not in the graph.
    [[nodiscard]] const node *find(const std::string &job) const;
    [[nodiscard]] const std::map<std::string, node> &nodes() const { return nodes_; }
    // The jobs that name this one as a predecessor.
    [[nodiscard]] const std::set<std::string> &dependents(const std::string &job) const;
    // Nothing: not known to have ended, or nobody waits for it.
    [[nodiscard]] const predecessor_end *end_of(const std::string &predecessor) const;
    // Predecessors of any job that are neither active nor known to have ended.
    [[nodiscard]] std::set<std::string> unresolved(const is_active_predicate &active) const;
    // The same, of one job and of those that it needs through others.
    [[nodiscard]] std::set<std::string> unresolved_for(const std::string &job,
                                                       const is_active_predicate &active) const;

  private:
    // A predecessor of the job is done.
    static void count_done(node &dependent, const predecessor_end &end);
    // Marks the jobs and all that need them as cancelled.
    void cancel_with_dependents(std::vector<std::string> jobs, changes &out);
    std::map<std::string, node> nodes_;
    std::map<std::string, std::set<std::string>> dependents_; // by predecessor
    std::map<std::string, predecessor_end> ends_;             // of those with dependents
};

// On this process's steady clock.
using dependency_graph = basic_dependency_graph<time_point>;
using predecessor_end = basic_predecessor_end<time_point>;
// On the clock of day.
using wall_dependency_graph = basic_dependency_graph<wall_time>;
using wall_predecessor_end = basic_predecessor_end<wall_time>;

} // namespace spindlecroft::catalog
