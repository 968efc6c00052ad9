// What the leader knows of the cluster: jobs, machines, and the attempts and queues that join them.
// Every change that touches both a job and a machine goes through this class, so that the two never
// disagree. It decides nothing and does no input or output; reconciliation, planning, the fleet and
// the records work on it.
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

// The leadership under which this state is kept.
struct leadership_term {
    std::uint64_t first_token = 0; // the fencing token with which it began; names records
    std::uint64_t token = 0;       // the present one; the leader may raise it
    time_point began_at{};
    wall_clock clock; // for records that outlive this process
};

// A kind of place where a task may be: the rules of a job don't tell more apart.
struct machine_class {
    std::string type, zone;
    bool spot = false;
};

// A service of some class that was seen of late, for which spare capacity is kept.
struct recent_service {
    job_spec spec; // of the latest such service
    time_point seen_at{};
};

class cluster_state {
  public:
    using job = catalog::job;
    using attempt = catalog::attempt;
    using machine = workers::machine;

    cluster_state(const settings::settings &settings, std::vector<machine_type> types);

    // --- the leadership ---
    const leadership_term &term() const { return term_; }
    void begin_term(const leadership_term &term) { term_ = term; }
    // A token that is not higher changes nothing.
    void raise_token(std::uint64_t token);

    // --- look-ups ---
    job *find_job(const std::string &id);
    const job *find_job(const std::string &id) const;
    machine *find_machine(const std::string &name);
    const machine *find_machine(const std::string &name) const;
    // The attempt of the task that is not proven gone, if any.
    attempt *find_attempt(const catalog::task_ref &task);
    const attempt *find_attempt(const catalog::task_ref &task) const;
    // The same, only if it has this number.
    attempt *find_attempt(const catalog::task_ref &task, std::uint64_t number);
    const machine_type *find_type(const std::string &name) const;
    std::map<std::string, job> &jobs() { return jobs_; }
    const std::map<std::string, job> &jobs() const { return jobs_; }
    std::map<std::string, machine> &machines() { return machines_; }
    const std::map<std::string, machine> &machines() const { return machines_; }
    const std::vector<machine_type> &types() const { return types_; }
    void set_types(std::vector<machine_type> types) { types_ = std::move(types); }
    // Calls visit(job, attempt) for each attempt on the machine. The visitor must not release any.
    template <class Visitor>
    void for_each_attempt(machine &host, Visitor visit);

    // --- jobs ---
    // Adds a job or replaces the one of that name.
    job &add_job(const std::string &id, job added);
    // An accepted job tells what work is to be expected.
    void note_accepted_job(const job_spec &spec, time_point now);
    void remove_job(const std::string &id) { jobs_.erase(id); }
    // The owner's estimate, corrected by what was measured of the class and of this very job.
    seconds expected_run_time(const job &owner) const;
    bidding::run_time_estimator &estimates() { return estimates_; }
    const std::map<std::string, recent_service> &recent_services() const {
        return recent_services_;
    }
    // The array that was accepted last.
    const std::optional<job_spec> &latest_array() const { return latest_array_; }
    // A small number for the image: planning compares images often.
    std::uint32_t image_number(const std::string &image);

    // --- machines ---
    // The machine of that name; made if it is not known yet.
    machine &find_or_add_machine(const std::string &name, time_point now);
    // What a heartbeat, a list or a rental says of the machine. An empty address says nothing.
    void update_description(machine &which, const std::string &type, const std::string &zone,
                            bool spot, const std::string &address);
    const std::vector<machine_class> &machine_classes() const { return machine_classes_; }
    // No new work for the machine, and a deletion as soon as the cloud can be asked.
    void request_deletion(machine &which, const char *reason);
    // The machine is proven gone, with all that was on it.
    void remove_machine(const std::string &name, time_point now);
    // It was removed of late; late heartbeats and lists may still name it.
    bool was_removed(const std::string &name) const { return removed_.contains(name); }
    // Names are not used again; late words about a machine end after some time.
    void forget_removed_machines(seconds after, time_point now);
    // Gives up what is on the machine, or queued for it, but for results that are being recorded.
    void release_attempts(machine &host);

    // --- attempts ---
    // The attempt is on its machine, which must be known, from now on.
    attempt &add_attempt(job &owner, attempt added);
    // The attempt is proven gone, or was never sent. to_waiting: its task is placed again.
    void release_attempt(job &owner, std::uint32_t index, bool to_waiting);
    // Asks for a stop with so much time to save a checkpoint. A shorter time replaces a longer one.
    void request_stop(attempt &which, seconds grace);
    // What was placed on the machine, but never sent, goes elsewhere.
    void withdraw_unsent_attempts(machine &from);
    std::uint64_t next_attempt_number();

    // --- queues: tasks that a machine won, not yet placed ---
    void clear_queue(machine &host);
    void remove_from_queue(job &owner, std::uint32_t index);

    workers::failure_ledger &failures() { return failures_; }
    const workers::failure_ledger &failures() const { return failures_; }

    // --- what is to be done next ---
    void request_planning() { is_planning_requested_ = true; }
    bool is_planning_requested() const { return is_planning_requested_; }
    void clear_planning_request() { is_planning_requested_ = false; }
    // Commands should reach the machine without waiting for its next heartbeat.
    void mark_for_direct_command(const std::string &machine) {
        direct_command_targets_.insert(machine);
    }
    // Machines marked so that can be sent a command now; the others stay marked.
    std::vector<std::string> take_direct_command_targets();

  private:
    std::size_t machine_class_index(const std::string &type, const std::string &zone, bool spot);

    const settings::settings &settings_;
    leadership_term term_;
    std::vector<machine_type> types_;
    std::map<std::string, job> jobs_;
    std::map<std::string, machine> machines_;
    std::map<std::string, time_point> removed_;
    std::vector<machine_class> machine_classes_;
    std::map<std::string, std::uint32_t> image_numbers_;
    std::map<std::string, recent_service> recent_services_; // by class
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
        auto *owner = find_job(task.job);
        if (!owner)
            continue;
        auto found = owner->current_attempts.find(task.index);
        if (found != owner->current_attempts.end())
            visit(*owner, found->second);
    }
}

} // namespace spindlecroft::model
