// Jobs, tasks and attempts in the leader's memory.
#pragma once
#include "common/time.hpp"
#include "wire/types.hpp"
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace spindlecroft::catalog {

// Identifies a task of a job.
struct task_ref {
    std::string job;
    std::uint32_t index = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted operator<=>.
    auto operator<=>(const task_ref &) const = default;
};

// The phase of an attempt.
enum class attempt_phase {
    committing, // its placement is being written; no command was sent
    committed,  // the placement is durable; the start may be sent
    sent,       // a start was sent, or may have been by an earlier leader: possibly running
    fetching,   // the machine fetches the image
    running,
    checkpointing,
    exited, // proven to have stopped
};

// One attempt to run a task on a machine.
struct attempt {
    task_ref task;
    std::uint64_t number = 0; // identifies it in commands and heartbeats
    std::string machine;
    attempt_phase phase = attempt_phase::committing;
    exit_cause cause = exit_cause::none;
    seconds expected_run_time{}; // on this machine
    time_point created_at{};
    std::optional<time_point> running_since;     // when first reported as running
    std::optional<time_point> last_seen_running; // when last reported as running
    // The heartbeat whose response carried the start command.
    std::uint64_t sent_incarnation = 0, sent_sequence = 0;
    bool inherited = false;      // from an earlier leader's placement record
    bool stop_requested = false; // a stop has been or will be sent
    seconds stop_grace{};        // grace period of that stop
    // Returns whether the task must be assumed to be on the machine: from the first start command
    // until it is proven to have stopped.
    bool possibly_running() const {
        return phase != attempt_phase::committing && phase != attempt_phase::committed &&
               phase != attempt_phase::exited;
    }
    // Returns how long ago the attempt was first reported as running, or 0.
    seconds observed_run_time(time_point now) const {
        return running_since ? now - *running_since : seconds{};
    }
    // Returns whether the machine's resources are reserved for the attempt.
    bool holds_resources() const { return phase != attempt_phase::exited; }
};

// A job that hasn't ended or whose end isn't durable yet.
struct job {
    job_spec spec;                     // as in its record except for the priority, see own_priority
    std::uint64_t record_revision = 0; // of its record in the key-value store
    time_point accepted_at{};
    // Whether all predecessors are durably done, and since when. A job without predecessors is
    // ready from its acceptance on.
    bool ready = true;
    time_point ready_at{};
    // The priority as submitted. The one in `spec` is the highest of this and of all unfinished
    // dependents; the due times are inherited from these as well.
    priority_class own_priority = priority_class::normal;
    std::optional<time_point> inherited_first_due, inherited_last_due;
    bool cancelled = false;
    time_point cancelled_at{};
    bool end_write_pending = false; // the record of its end is being written
    bool ended = false;             // the record of its end is durable

    // Tasks are placed in the order of their indices. Tasks that have to be placed again precede
    // those that were never placed.
    std::uint32_t next_unplaced = 0;                   // first index that was never placed
    std::set<std::uint32_t> requeued;                  // to be placed again
    std::map<std::uint32_t, std::string> queued_on;    // queued tasks: the name of the machine
    std::map<std::uint32_t, attempt> current_attempts; // the attempt of each placed task

    std::vector<bool> done;                // by task: known to be done, durable or not
    std::vector<bool> done_durable;        // by task: durably recorded as done
    std::uint32_t durable_done_count = 0;  // durably recorded
    std::uint32_t reported_done_count = 0; // reported, durable or not
    std::map<std::uint32_t, std::string> done_record_of_part; // record name by part of its tasks
    time_point next_write_at{};                               // pause after a conflict

    std::uint32_t image_number = 0; // see cluster_state::image_number()
    // Whether the job, together with its team's earlier jobs, fits into the team's guaranteed quota
    // and needn't wait for other teams' jobs.
    bool guaranteed = false;
    seconds run_time_sum{};     // of done tasks, normalized to an ordinary machine's speed
    int run_time_count = 0;     // tasks in that sum
    time_point backoff_until{}; // no task is placed before, after failed or refused tasks

    // Returns whether no further task of the job may be placed.
    bool is_closed() const { return cancelled || ended || end_write_pending; }
    // Returns the number of tasks that wait for a placement; 0 until the job is ready.
    std::uint32_t waiting_tasks() const;
    // Takes the index of the next task to place. Returns false if there is none.
    bool pop_waiting_task(std::uint32_t &index);
    // Queues a task for another placement, unless it is done or has an attempt.
    void requeue_task(std::uint32_t index);
    // Returns the number of tasks that are reported as running.
    std::uint32_t running_tasks() const;
    // Returns how many of the job's tasks may be in one zone.
    std::uint32_t max_tasks_per_zone() const {
        return spec.spread_across_zones ? (spec.tasks + 1) / 2 : spec.tasks;
    }
};

} // namespace spindlecroft::catalog
