// The leader's view of the cluster: jobs, machines, and the attempts and queues that connect them.
// Every change that touches both a job and a machine goes through this class, so that the two stay
// consistent. It makes no decisions and performs no I/O; reconciliation, planning, the fleet and
// the records operate on it.
#pragma once
#include "bidding/bid.hpp"
#include "catalog/job.hpp"
#include "common/time.hpp"
#include "settings/settings.hpp"
#include "wire/types.hpp"
#include "workers/failure_ledger.hpp"
#include "workers/machine.hpp"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace spindlecroft::model {

/// The leadership term during which this state is kept.
struct leadership_term {
    std::uint64_t first_token = 0; ///< Fencing token with which the term began; names records.
    std::uint64_t token = 0;       ///< Current fencing token; the leader may raise it.
    time_point began_at{};
    wall_clock clock; ///< For times in records that outlive this process.
};

/// All machines of one type and zone, either spot or on-demand. The placement rules of jobs
/// distinguish no further.
struct machine_class {
    std::string type, zone;
    bool spot = false;
};

/// The service of a job class that was accepted last, for which spare capacity is kept.
struct recent_service {
    job_spec spec;
    time_point seen_at{};
};

/// Holds all jobs and machines and keeps their relations consistent.
class cluster_state {
  public:
    using job = catalog::job;
    using attempt = catalog::attempt;
    using machine = workers::machine;

    cluster_state(const settings::settings &settings, std::vector<machine_type> types);

    // --- leadership ---
    const leadership_term &term() const { return term_; }
    void begin_term(const leadership_term &term) { term_ = term; }
    /// Raises the fencing token. A token that is not higher is ignored.
    void raise_token(std::uint64_t token);

    // --- look-ups ---
    job *find_job(const std::string &id);
    const job *find_job(const std::string &id) const;
    machine *find_machine(const std::string &name);
    const machine *find_machine(const std::string &name) const;
    /// The attempt of the task that is not proven gone, or null.
    attempt *find_attempt(const catalog::task_ref &task);
    const attempt *find_attempt(const catalog::task_ref &task) const;
    /// The same, or null if its number differs.
    attempt *find_attempt(const catalog::task_ref &task, std::uint64_t number);
    const machine_type *find_type(const std::string &name) const;
    std::map<std::string, job> &jobs() { return jobs_; }
    const std::map<std::string, job> &jobs() const { return jobs_; }
    std::map<std::string, machine> &machines() { return machines_; }
    const std::map<std::string, machine> &machines() const { return machines_; }
    const std::vector<machine_type> &types() const { return types_; }
    void set_types(std::vector<machine_type> types) { types_ = std::move(types); }
    /// Calls visit(job, attempt) for each attempt on the machine. The visitor must not release any.
    template <class Visitor>
    void for_each_attempt(machine &host, Visitor visit);

    // --- jobs ---
    /// Adds the job, replacing any job with this id.
    job &add_job(const std::string &id, job added);
    /// Remembers an accepted job as an example of the work to expect.
    void note_accepted_job(const job_spec &spec, time_point now);
    void remove_job(const std::string &id) { jobs_.erase(id); }
    /// The user's estimate for one task, corrected by the run times measured in the job's class and
    /// in the job itself.
    seconds expected_run_time(const catalog::job &job) const;
    bidding::run_time_estimator &estimates() { return estimates_; }
    /// The latest service of each job class.
    const std::map<std::string, recent_service> &recent_services() const {
        return recent_services_;
    }
    /// The array that was accepted last.
    const std::optional<job_spec> &latest_array() const { return latest_array_; }
    /// Returns a small number for the image, which planning compares faster than names.
    std::uint32_t image_number(const std::string &image);

    // --- machines ---
    /// Returns the machine of that name, adding it if it is unknown.
    machine &find_or_add_machine(const std::string &name, time_point now);
    /// Applies the description in a heartbeat, machine list or rental. An empty address is ignored.
    void update_description(machine &described, const std::string &type, const std::string &zone,
                            bool spot, const std::string &address);
    const std::vector<machine_class> &machine_classes() const { return machine_classes_; }
    /// Gives the machine no new work and has it deleted by the next call to the cloud.
    void request_deletion(machine &unwanted, const char *reason);
    /// Removes a machine that is proven gone, with all attempts on it.
    void remove_machine(const std::string &name, time_point now);
    /// Whether the machine was removed recently. Late heartbeats and lists may still name it.
    bool was_removed(const std::string &name) const { return removed_.contains(name); }
    /// Forgets the names of machines removed longer ago than `age`. The cloud never reuses a name,
    /// and late messages about a machine cease after some time.
    void forget_removed_machines(seconds age, time_point now);
    /// Releases all attempts on the machine, except results that are being recorded, and its queue.
    void release_attempts(machine &host);

    // --- attempts ---
    /// Adds an attempt to the job and to its machine, which must be known.
    attempt &add_attempt(catalog::job &job, attempt added);
    /// Removes an attempt that is proven gone or was never sent. requeue: its task is to be placed
    /// again.
    void release_attempt(catalog::job &job, std::uint32_t index, bool requeue);
    /// Requests a stop that leaves the task `grace` to save a checkpoint. A shorter grace period
    /// replaces a longer one.
    void request_stop(attempt &stopped, seconds grace);
    /// Requeues the tasks that were placed on the machine or queued for it but never sent.
    void withdraw_unsent_attempts(machine &host);
    /// Returns an attempt number that no leader has used before.
    std::uint64_t next_attempt_number();

    // --- queues of tasks that are assigned to a machine but not placed yet ---
    /// Returns all tasks in the queue of the machine to their jobs.
    void clear_queue(machine &host);
    /// Removes the task from the queue that holds it, if any.
    void remove_from_queue(catalog::job &job, std::uint32_t index);

    // --- failures ---
    workers::failure_ledger &failures() { return failures_; }
    const workers::failure_ledger &failures() const { return failures_; }

    // --- pending actions ---
    void request_planning() { is_planning_requested_ = true; }
    bool is_planning_requested() const { return is_planning_requested_; }
    void clear_planning_request() { is_planning_requested_ = false; }
    /// Has commands sent to the machine directly instead of in the answer to its next heartbeat.
    void mark_for_direct_command(const std::string &machine) {
        direct_command_targets_.insert(machine);
    }
    /// Removes and returns the marked machines that can be sent a command now. Those with a direct
    /// command in flight stay marked; the marks of machines that are not up are dropped.
    std::vector<std::string> take_direct_command_targets();

  private:
    std::size_t machine_class_index(const std::string &type, const std::string &zone, bool spot);

    const settings::settings &settings_;
    leadership_term term_;
    std::vector<machine_type> types_;
    std::map<std::string, job> jobs_;
    std::map<std::string, machine> machines_;
    std::map<std::string, time_point> removed_; ///< Time of removal by machine.
    std::vector<machine_class> machine_classes_;
    std::map<std::string, std::uint32_t> image_numbers_;
    std::map<std::string, recent_service> recent_services_; ///< By job class.
    std::optional<job_spec> latest_array_;
    bidding::run_time_estimator estimates_;
    workers::failure_ledger failures_;
    std::set<std::string> direct_command_targets_;
    bool is_planning_requested_ = true;
    std::uint64_t attempt_counter_ = 0;
};

template <class Visitor>
void cluster_state::for_each_attempt(machine &host, Visitor visit) {
    for (const auto &task : host.attempts) {
        auto *job = find_job(task.job);
        if (!job)
            continue;
        auto found = job->current_attempts.find(task.index);
        if (found != job->current_attempts.end())
            visit(*job, found->second);
    }
}

} // namespace spindlecroft::model
