// The scheduler: makes the decisions of a leader. Events and the time go in, decisions come out. It
// does no I/O, so that recorded traces can be replayed with it. This class only connects the
// components that decide; each of them owns its state and works on the cluster's state (src/model):
//
//   reconciliation  heartbeats against stored state, commands, leases
//   planning        bids, queues, preemption
//   fleet           scale out and scale in, machine health
//   records         what must be durable before it takes effect
//   dependencies    job DAG
#pragma once
#include "common/time.hpp"
#include "dependencies/chain_inheritance.hpp"
#include "dependencies/dependency_tracker.hpp"
#include "fleet/fleet_manager.hpp"
#include "model/cluster_state.hpp"
#include "planning/round_planner.hpp"
#include "reconciliation/command_composer.hpp"
#include "reconciliation/failure_review.hpp"
#include "reconciliation/heartbeat_freshness.hpp"
#include "reconciliation/heartbeat_reconciler.hpp"
#include "reconciliation/lease_monitor.hpp"
#include "records/done_records.hpp"
#include "records/durable_write.hpp"
#include "records/job_ends.hpp"
#include "records/job_loader.hpp"
#include "records/placement_records.hpp"
#include "records/record_cleanup.hpp"
#include "records/record_sizes.hpp"
#include "records/suspect_record.hpp"
#include "settings/settings.hpp"
#include "wire/codec.hpp"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace spindlecroft::control {

using records::durable_write;
using records::write_kind;

/// Connects the components that decide, and runs them in their order.
class scheduler {
  public:
    scheduler(const settings::settings &settings, std::vector<machine_type> types);
    /// Not copyable: the components refer to one another.
    ~scheduler() = default;
    scheduler(const scheduler &) = delete;
    scheduler &operator=(const scheduler &) = delete;

    // --- failover: records are loaded in this order, between begin() and finish_loading() ---
    /// Starts loading. clock: maps the times of day in records to the steady clock.
    void begin(time_point now, std::uint64_t token, wall_clock clock);
    /// Loads the record of an active job.
    void load_job(const std::string &id, const wire::job_record &record, std::uint64_t revision,
                  time_point now) {
        job_loader_.load(id, record, revision, now);
    }
    /// Loads a record of done tasks.
    void load_done(const std::string &name, const std::vector<wire::done_part> &parts) {
        done_records_.load(name, parts);
    }
    /// Loads a record of placed tasks.
    void load_placements(const std::string &name, const std::vector<wire::placed_task> &tasks,
                         time_point now) {
        placements_.load(name, tasks, now);
    }
    /// Handles an unreadable placement record: its tasks may run on any machine until each worker
    /// has sent a heartbeat or its lease has expired, so no task is placed until then.
    void load_unreadable_placements(time_point now);
    /// Loads the record of the rental requests of one round.
    void load_rental(const std::string &round, const wire::rental_record &record, time_point now) {
        fleet_.load_rental(round, record, now);
    }
    /// Loads the suspect jobs: those that an earlier leader found to fail on every machine they ran
    /// on.
    void load_suspects(const std::vector<std::string> &jobs, time_point now) {
        suspect_record_.load(jobs, now);
    }
    /// Ends the loading; tick() does nothing before.
    void finish_loading(time_point now);

    // --- jobs ---
    /// Adds or updates an active job from its record at this store revision.
    void on_job_record(const std::string &id, const wire::job_record &record,
                       std::uint64_t revision, time_point now) {
        job_loader_.on_record(id, record, revision, now);
    }
    /// Applies a durable cancellation before the job's updated record arrives.
    void on_cancel(const cancel_notice &notice, time_point now) {
        job_loader_.on_cancel(notice, now);
    }
    /// Applies the end of a predecessor, from its durable record.
    void on_predecessor_end(const std::string &id, const catalog::wall_predecessor_end &end,
                            time_point now) {
        dependencies_.on_predecessor_end(id, end, now);
    }
    /// Returns the predecessors for which neither an active nor an ended record is known here. The
    /// jobs that depend on them don't start until one is.
    std::set<std::string> unresolved_predecessors() const {
        return dependencies_.unresolved_predecessors();
    }

    // --- workers ---
    /// Sets the fencing token after a raise.
    void set_token(std::uint64_t token) { state_.raise_token(token); }
    using heartbeat_age = reconciliation::heartbeat_freshness;
    /// Reconciles a heartbeat. reply: it arrived in the response to a direct command, not on its
    /// own.
    heartbeat_age on_heartbeat(const heartbeat &received, time_point now, bool reply = false);
    /// Returns whether neither the heartbeat, exited tasks excepted, nor the state of tasks that
    /// may be running on the machine names a task.
    [[nodiscard]] bool has_no_tasks(const heartbeat &received) const {
        return heartbeats_.has_no_tasks(received);
    }
    /// Returns the commands for the response to the newest heartbeat. starts: tasks may be started
    /// now.
    std::vector<command> commands_for_response(const std::string &machine, time_point now,
                                               bool starts = true);
    /// Records that the response was sent: the worker's lease may last its full duration from now
    /// on.
    void on_response_sent(const std::string &machine, heartbeat_age age, time_point now) {
        heartbeats_.note_answer(machine, age, now);
    }
    /// Returns the commands for a direct message. If one of them is a start, the machine is marked
    /// until the message's outcome is reported by command_resolved() or command_unresolved().
    std::vector<command> direct_commands_for(const std::string &machine, time_point now,
                                             bool starts = true);
    /// Returns whether every start command among these is still wanted.
    [[nodiscard]] bool starts_still_wanted(const std::vector<command> &commands) const {
        return commands_.are_starts_current(commands);
    }
    /// Reports that a direct message was executed, or that it certainly never will be.
    void command_resolved(const std::string &machine) { commands_.mark_resolved(machine); }
    /// Reports that a direct message may still be executed, until the machine has seen a higher
    /// token.
    void command_unresolved(const std::string &machine, std::uint64_t token,
                            std::uint64_t incarnation) {
        commands_.mark_unresolved(machine, token, incarnation);
    }

    // --- the cloud ---
    void set_machine_types(std::vector<machine_type> types) { state_.set_types(std::move(types)); }
    /// Applies a complete list of machines, requested at requested_at.
    void on_machine_list(const std::vector<listed_machine> &machines, time_point requested_at,
                         time_point now) {
        fleet_.on_machine_list(machines, requested_at, now);
    }
    /// These apply the outcome of a rental request.
    void on_rented(const std::string &request, const std::vector<std::string> &machines,
                   time_point now) {
        fleet_.on_rented(request, machines, now);
    }
    void on_rent_refused(const std::string &request, time_point now);
    void on_rent_outcome_unknown(const std::string &request, time_point now) {
        fleet_.on_rent_outcome_unknown(request, now);
    }
    /// These apply the outcome of a request to delete machines.
    void on_deleted(const std::vector<std::string> &machines, time_point now) {
        fleet_.on_deleted(machines, now);
    }
    void on_delete_failed(const std::vector<std::string> &machines) {
        fleet_.on_delete_failed(machines);
    }

    // --- the store ---
    /// Applies the outcome of a write that take_writes() returned.
    void on_write_completed(const durable_write &write, bool committed, time_point now);
    /// Sets the writes per second that the store allows.
    void set_store_write_rate(double rps) { settings_.key_value_write_rps = rps; }

    /// Runs the checks, the planning and the scaling that are due.
    void tick(time_point now);

    // --- decisions to carry out ---
    /// Returns the writes to send. max_deferrable: limit for the writes that can wait; the longer
    /// one waits, the more changes it covers.
    std::vector<durable_write> take_writes(time_point now, std::size_t max_deferrable = 1000);
    std::vector<std::string> take_deletions(time_point now) { return fleet_.take_deletions(now); }
    std::vector<rental_request> take_rental_requests(time_point now) {
        return fleet_.take_rentals(now);
    }
    /// Returns the machines that should get a direct command now, and clears their mark.
    std::vector<std::string> take_urgent_machines() { return state_.take_direct_command_targets(); }
    /// Marks a machine as urgent again, because a message to it is already in flight.
    void requeue_urgent_machine(const std::string &machine) {
        state_.mark_for_direct_command(machine);
    }
    /// Returns whether a higher token is needed to prove that direct commands, or copies of them,
    /// can no longer be executed.
    bool needs_token_raise(time_point now) { return commands_.take_token_raise_request(now); }

    // --- queries ---
    /// Counts of a job's tasks.
    struct progress {
        std::uint32_t done = 0, running = 0;
    };
    /// Returns the task counts of a job. Nothing: the job is not active.
    std::optional<progress> find_progress(const std::string &id) const;
    const workers::machine *find_machine(const std::string &name) const {
        return state_.find_machine(name);
    }
    const catalog::job *find_job(const std::string &id) const { return state_.find_job(id); }
    const std::map<std::string, catalog::job> &jobs() const { return state_.jobs(); }
    const std::map<std::string, workers::machine> &machines() const { return state_.machines(); }
    const std::vector<machine_type> &types() const { return state_.types(); }
    std::uint64_t token() const { return state_.term().token; }
    /// Returns a one-line summary for the log.
    std::string summary() const;

  private:
    void check(time_point now);
    void plan(time_point now);
    void scale(time_point now);
    void take_rental_writes(std::vector<durable_write> &out);
    void on_rental_written(const durable_write &write, bool committed);

    settings::settings settings_;
    model::cluster_state state_;
    dependencies::dependency_tracker dependencies_{settings_, state_};
    records::job_loader job_loader_{state_, dependencies_};
    records::placement_records placements_{settings_, state_};
    records::done_records done_records_{settings_, state_};
    records::job_ends job_ends_{state_};
    records::suspect_record suspect_record_{settings_, state_};
    records::record_cleanup cleanup_;
    planning::round_planner planner_;
    dependencies::chain_inheritance inheritance_{settings_, state_, planner_.quota().teams()};
    fleet::fleet_manager fleet_{settings_, state_, records::max_record_bytes(settings_)};
    reconciliation::failure_review failure_review_{state_};
    reconciliation::heartbeat_reconciler heartbeats_;
    reconciliation::command_composer commands_{state_};
    reconciliation::lease_monitor leases_{state_, settings_};

    bool ready_ = false;                              // the records have been loaded
    std::optional<time_point> placements_held_until_; // no task is placed before this time
    std::optional<time_point> last_check_;
    std::optional<time_point> last_plan_;
    std::optional<time_point> last_scaling_;
};

} // namespace spindlecroft::control
