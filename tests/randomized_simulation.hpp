// A randomized simulation of the scheduler with simulated workers, cloud and key-value store, in
// simulated time. Messages are delayed, lost and duplicated, machines hang, die or are deleted, and
// the leader is replaced at any step. The rules of the scheduler are checked as invariants.
#pragma once
#include "builders.hpp"
#include "control/scheduler.hpp"
#include "test_time.hpp"
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace spindlecroft::test {

struct simulation {
    explicit simulation(unsigned seed) : random(seed), copy_random(seed) {}

    // Runs for `length` from time zero; no faults are injected in the last two fifths.
    void run(seconds length);

    // Describes the leader's state of the job and of all machines, for the message of a failed
    // check.
    std::string describe(const std::string &id);

    using task_key = std::pair<std::string, std::uint32_t>; // job and index

    // An attempt of a task on a worker.
    struct worker_task {
        std::uint64_t attempt = 0;
        task_state state = task_state::fetching;
        exit_cause cause = exit_cause::none;
        time_point until{};
    };

    struct worker {
        std::string name, type, zone;
        bool spot = false, alive = true;
        time_point up_at{}, hang_until{};
        // During an inbound partition heartbeats arrive, but answers and commands are lost.
        time_point inbound_partition_until{};
        time_point outbound_partition_until{}; // heartbeats are lost, but commands arrive
        std::uint64_t incarnation = 1, sequence = 0, token = 0;
        time_point lease_from{}, next_heartbeat{};
        bool awaiting_answer = false;
        std::map<task_key, worker_task> tasks;
        // Exited attempts of tasks of which `tasks` holds a newer attempt. Heartbeats list them
        // until the leader has them removed.
        std::map<std::uint64_t, task_key> superseded;
        bool faulty = false;
    };

    // The record of an active job in the store.
    struct record {
        wire::job_record job;
        std::uint64_t version = 0;
        std::optional<time_point> cancelled_at;
    };

    struct event {
        time_point due_at;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator<(const event &other) const {
            return due_at != other.due_at ? due_at > other.due_at : sequence > other.sequence;
        }
    };

    // A transaction as the committer sends it. It applies only if the leader's own keys have the
    // versions that the leader last read or wrote, all other keys the versions that the scheduler
    // states, and the leader key the version of the fencing token.
    struct transaction {
        control::durable_write write;
        std::map<std::string, std::uint64_t> expected_versions;
        std::uint64_t fence = 0;
    };

    // --- clock and events ---
    boost::random::mt19937 random;
    // For copies of commands alone, so that they leave the other random events of a seed as they
    // are.
    boost::random::mt19937 copy_random;
    settings::settings conf = small_settings();
    std::vector<machine_type> types = small_types();
    time_point now{};
    std::priority_queue<event> events;
    std::uint64_t event_count = 0;
    bool is_fault_free = false; // no more faults are injected

    double random_real(double from, double to);
    seconds random_duration(double from, double to) { return seconds{random_real(from, to)}; }
    int random_integer(int from, int to) {
        return boost::random::uniform_int_distribution<int>(from, to)(random);
    }
    bool chance(double probability) { return !is_fault_free && random_real(0, 1) < probability; }
    seconds random_delay() {
        return chance(0.03) ? random_duration(1, 60) : random_duration(0.001, 0.2);
    }
    void schedule(time_point time, std::function<void()> action);
    void run_due_events();
    void inject_store_faults();
    void inject_worker_faults(worker &agent);
    void inject_user_actions(int submitted_count);
    void replace_leader();
    void stop_faults();
    void list_machines();

    // --- key-value store ---
    std::uint64_t revision = 10, leader_token = 0;
    std::map<std::string, record> jobs;
    std::map<std::string, job_state> ended;
    std::map<std::string, std::pair<std::string, std::uint64_t>> kv; // value, version
    time_point outage_until{};                                       // the store answers no request
    time_point leader_refused_until{}; // the store refuses only the leader

    bool apply(const transaction &txn);
    void apply_write(const std::shared_ptr<control::scheduler> &leader,
                     const control::durable_write &write);
    // Sends the write, or repeats it after a lost answer. An earlier copy may have been applied and
    // changed the versions of the keys; a stored value equal to the written one shows that.
    void complete_write(const std::shared_ptr<control::scheduler> &leader, const transaction &txn);
    bool was_applied(const control::durable_write &write);
    void apply_operations(const control::durable_write &write);
    void record_end(const std::string &id, job_state state);

    // --- leader ---
    std::shared_ptr<control::scheduler> scheduler; // of the present leader
    // Versions of the leader's own keys, as last read or written.
    std::map<std::string, std::uint64_t> versions;
    time_point cancels_known_until{}; // the leader has every cancel confirmed before then
    bool ends_unreadable = false;     // the leader can't read the records of ended predecessors
    bool leader_ignores_dependents = false; // the leader is of the version before dependencies
    bool cancel_notices_lost = false;       // during the latest refusal of the leader
    // True while notices of confirmed cancels don't reach the leader.
    bool notices_lost() const { return cancel_notices_lost && now < leader_refused_until; }

    void elect();
    void load_records();
    void advance_leader();
    void rent(const std::shared_ptr<control::scheduler> &leader, const rental_request &request);
    void delete_machines(const std::shared_ptr<control::scheduler> &leader,
                         const std::vector<std::string> &names);
    // A direct message to a worker, shared by its delivery, its answer and its timeout.
    struct direct_message {
        std::shared_ptr<control::scheduler> leader;
        std::string machine;
        std::uint64_t incarnation = 0;
        std::uint64_t token = 0;
        std::vector<command> commands;
        bool contains_start = false; // one of the commands is a start
        bool is_resolved = false;    // answered or timed out
        bool is_copy = false;        // a late copy of an executed message; its answer is lost
    };
    void send_command(const std::string &name);
    void deliver_command(const std::shared_ptr<direct_message> &message);
    // Delivers a copy of some executed messages up to a minute later, perhaps under another leader.
    void copy_some(const direct_message &executed);
    bool may_renew() const;
    // True if a job with predecessors may have running tasks. A downgrade to the version before
    // dependencies is allowed only while this is false (docs/operations.md): a leader of that
    // version does not load such a job and would not count its running tasks.
    bool dependent_may_run() const;
    void report_predecessor_ends();
    void notify_leader(const std::string &id);
    void notify_leader_at(const std::string &id, time_point time);

    // --- workers and cloud ---
    std::map<std::string, worker> workers;
    std::map<std::string, std::vector<std::string>> rentals; // machine names by request id
    int machine_count = 0;

    // True for a job whose every attempt fails on any machine, as with an error in the submission.
    static bool fails_everywhere(const std::string &job);
    void execute(worker &agent, const std::vector<command> &commands);
    void execute_remove(worker &agent, const command &cmd);
    void execute_stop(worker &agent, const command &cmd);
    void execute_start(worker &agent, const command &cmd);
    heartbeat make_heartbeat(worker &agent);
    void advance_worker(worker &agent);
    void send_heartbeat(worker &agent);
    void finish_heartbeat(const std::string &name, std::uint64_t incarnation, time_point sent,
                          const std::vector<command> &commands, std::uint64_t token, bool answered);

    // --- users ---
    std::map<std::string, job_spec> submitted;
    // Predecessors of each job as submitted, including those that had already ended, by job id.
    std::map<std::string, std::vector<std::string>> predecessors_of;
    std::set<std::string> cancel_confirmed;

    void submit(int number);
    // Adds random predecessors as a controller records them: predecessors that are done are left
    // out, and a cancelled predecessor cancels the job at once.
    void add_predecessors(wire::job_record &record, int number);
    void cancel(const std::string &id);
    void cancel_a_predecessor();
    // Cancels all direct and indirect dependents of a cancelled job.
    void cancel_dependents(const std::string &id);

    // --- rules ---
    std::vector<std::string> violations;
    std::set<std::string> started; // job/index#attempt of every attempt that ran on a worker
    std::map<task_key, bool> completed;
    // Since when a machine has capacity for the job and the team's limit allows a start.
    std::map<std::string, time_point> waiting_since;
    std::map<std::string, int> starts_of_failing_jobs; // by job id
    int starts = 0, leaders = 0, duplicate_heartbeats = 0, command_copies = 0, delayed_writes = 0,
        cancels_by_notice = 0, cancels_at_task_end = 0;
    int jobs_with_predecessors = 0, dependent_start_checks = 0, cancelled_dependents = 0;

    void report_violation(const std::string &description);
    // A healthy machine must not be quarantined because of jobs that fail on every machine.
    void check_quarantine();
    void check_start(worker &agent, const std::string &job, std::uint32_t index,
                     std::uint64_t attempt);
    void check_start_order(const std::string &job);
    void check_runs_once(const worker &agent, const std::string &job, std::uint32_t index,
                         std::uint64_t attempt);
    void check_team_limit_and_spread(const worker &agent, const std::string &job);
    void check_cancelled();
    // Used and free capacity of the machines that are up, with respect to one job.
    struct capacity_view {
        double used_by_team = 0;   // cores
        bool has_capacity = false; // a suitable machine can take one task of the job
        bool job_is_running = false;
    };
    capacity_view view_capacity(const std::string &id, const job_spec &spec) const;
    // Once the faults have stopped, no ready job may wait 90 s while a suitable machine has
    // capacity and the team's limit allows a start.
    void check_waiting_times();
    bool all_predecessors_done(const std::string &id);
    bool has_incomplete_task(const std::string &id, const job_spec &spec);
};

} // namespace spindlecroft::test
