// A job and its tasks, as the deciding node knows them.
#pragma once
#include "common/time.hpp"
#include "wire/types.hpp"
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace spindlecroft::catalog {

// Names a task of a job.
struct task_ref {
    std::string job;
    std::uint32_t index = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted operator<=>.
    auto operator<=>(const task_ref &) const = default;
};

// How far an attempt has come.
enum class attempt_phase {
    committing, // its placement is being written; nothing was sent
    committed,  // placement durable; start may be sent
    sent,       // start was sent, or an earlier leader may have sent it: possibly running
    fetching,   // the machine fetches the image
    running,
    checkpointing,
    exited, // proven not to run any more
};

// One try at running a task on a machine.
struct attempt {
    task_ref task;
    std::uint64_t number = 0; // commands and reports name it
    std::string machine;
    attempt_phase phase = attempt_phase::committing;
    exit_cause cause = exit_cause::none;
    seconds expected_run_time{}; // run time expected on this machine
    time_point created_at{};
    std::optional<time_point> running_since;     // when first reported running
    std::optional<time_point> last_seen_running; // when last reported running
    // The heartbeat whose answer carried the start.
    std::uint64_t sent_incarnation = 0, sent_sequence = 0;
    bool inherited = false;      // from an earlier leader's placement record
    bool stop_requested = false; // a stop is to be sent, or was
    seconds stop_grace{};        // which that stop leaves the task
    // Presumed on the machine: everything from the first send until proven gone.
    bool possibly_running() const {
        return phase != attempt_phase::committing && phase != attempt_phase::committed &&
               phase != attempt_phase::exited;
    }
    // For how long it was seen running.
    seconds observed_run_time(time_point now) const {
        return running_since ? now - *running_since : seconds{};
    }
    // Whether the machine's resources are set aside for it.
    bool holds_resources() const { return phase != attempt_phase::exited; }
};

// A job that has not ended, or whose end is not durable yet.
struct job {
    job_spec spec;                     // as in its record, but for the priority: see own_priority
    std::uint64_t record_revision = 0; // of its record in the key-value store
    time_point accepted_at{};
    // With predecessors: whether all of them are durably done, and since when. A job without is
    // ready from its acceptance on.
    bool ready = true;
    time_point ready_at{};
    // As submitted. The priority in `spec` is the highest of its own and of any unfinished job that
    // needs it; the due times are passed backwards from those.
    priority_class own_priority = priority_class::normal;
    std::optional<time_point> inherited_first_due, inherited_last_due;
    bool cancelled = false;
    time_point cancelled_at{};
    bool end_write_pending = false; // the record of its end is being written
    bool ended = false;             // and is durable

    // Tasks are handed out in the order of their indices, each once; those that have to run again
    // go before the ones that never ran.
    std::uint32_t next_unplaced = 0;                   // tasks from here on were never placed
    std::set<std::uint32_t> requeued;                  // placed before, to be placed again
    std::map<std::uint32_t, std::string> queued_on;    // in the queue of this machine
    std::map<std::uint32_t, attempt> current_attempts; // the present attempt of each placed task

    std::vector<bool> done;                // by task: known done (durable or being written)
    std::vector<bool> done_durable;        // of these, written
    std::uint32_t durable_done_count = 0;  // durable
    std::uint32_t reported_done_count = 0; // reported, perhaps not yet durable
    std::map<std::uint32_t, std::string>
        done_record_of_part;    // which record tells of this part of its tasks
    time_point next_write_at{}; // pause after a conflict

    std::uint32_t image_number = 0; // number of its image
    // It fits its team's guarantee together with the team's earlier jobs: it need not wait for
    // others.
    bool guaranteed = false;
    seconds run_time_sum{};     // run times of its done tasks, at the speed of an ordinary machine
    int run_time_count = 0;     // tasks in that sum
    time_point backoff_until{}; // no task is placed before: tasks failed or were refused

    // Nothing of it is placed any more.
    bool is_closed() const { return cancelled || ended || end_write_pending; }
    // Tasks neither done, queued nor on a machine that may be placed: none before the job is ready.
    std::uint32_t waiting_tasks() const;
    // Takes the next task to place. False: there is none.
    bool pop_waiting_task(std::uint32_t &index);
    // A task that was handed out is to be placed again, unless it is done or placed already.
    void requeue_task(std::uint32_t index);
    // Tasks that are reported running.
    std::uint32_t running_tasks() const;
    // Replicas, or tasks, that may be in one zone.
    std::uint32_t max_tasks_per_zone() const {
        return spec.spread_across_zones ? (spec.tasks + 1) / 2 : spec.tasks;
    }
};

} // namespace spindlecroft::catalog
