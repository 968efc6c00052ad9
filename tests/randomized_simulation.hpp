// A randomized run of the scheduler against stand-ins for workers, cloud and key-value store, in
// simulated time: late delivery, lost and repeated messages, machines that hang, die or are taken,
// leaders that follow one another at any step. Every rule is checked as an invariant.
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
    explicit simulation(unsigned seed) : random(seed) {}

    // Runs for this long from time zero; the last two fifths without faults.
    void run(seconds length);

    // What the leader knows of the job and of all machines, for the message of a failed check.
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
        time_point inbound_partition_until{};  // its heartbeats arrive, but nothing reaches it
        time_point outbound_partition_until{}; // it reaches no controller, but commands reach it
        std::uint64_t incarnation = 1, sequence = 0, token = 0;
        time_point lease_from{}, next_heartbeat{};
        bool awaiting_answer = false;
        std::map<task_key, worker_task> tasks;
        // Exited attempts of which a newer one is in `tasks`: held, and shown, until they are
        // removed.
        std::map<std::uint64_t, task_key> older;
        bool faulty = false;
    };

    // An active job's record in the store.
    struct record {
        wire::job_record job;
        std::uint64_t version = 0;
        std::optional<time_point> cancelled_at;
    };

    struct event {
        time_point at;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator<(const event &other) const {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    // What the committer does: the leader's own keys carry the version it knows, all else the
    // version that the scheduler names, and the whole the leader key's.
    struct transaction {
        control::durable_write write;
        std::map<std::string, std::uint64_t> owned;
        std::uint64_t fence = 0;
    };

    // --- clock and events ---
    boost::random::mt19937 random;
    settings::settings conf = small_settings();
    std::vector<machine_type> types = small_types();
    time_point now{};
    std::priority_queue<event> events;
    std::uint64_t event_count = 0;
    bool calm = false; // no more faults

    double real(double from, double to);
    seconds between(double from, double to) { return seconds{real(from, to)}; }
    int integer(int from, int to) {
        return boost::random::uniform_int_distribution<int>(from, to)(random);
    }
    bool chance(double probability) { return !calm && real(0, 1) < probability; }
    seconds delay() { return chance(0.03) ? between(1, 60) : between(0.001, 0.2); }
    void at(time_point time, std::function<void()> action);
    void run_due_events();
    void inject_store_faults();
    void inject_worker_faults(worker &w);
    void inject_user_actions(int submitted_count);
    void replace_leader();
    void begin_calm();
    void list_machines();

    // --- key-value store ---
    std::uint64_t revision = 10, leader_token = 0;
    std::map<std::string, record> jobs;
    std::map<std::string, job_state> ended;
    std::map<std::string, std::pair<std::string, std::uint64_t>> kv; // value, version
    time_point outage_until{};                                       // nobody is served
    time_point leader_refused_until{};                               // the leader alone is refused

    bool apply(const transaction &t);
    void apply_write(const std::shared_ptr<control::scheduler> &leader,
                     const control::durable_write &w);
    // After a lost answer one's own copy may have moved the keys: a written value tells.
    void settle(const std::shared_ptr<control::scheduler> &leader, const transaction &t);
    bool was_applied(const control::durable_write &w);
    void carry_out(const control::durable_write &w);
    void record_end(const std::string &id, job_state state);

    // --- leader ---
    std::shared_ptr<control::scheduler> scheduler; // of the leader in office
    std::map<std::string, std::uint64_t> versions; // of its own keys, as it knows them
    time_point known_until{};                      // every cancel before then is known to it
    bool ends_unreadable = false;                  // the leader can't read how predecessors ended
    bool leader_ignores_dependents = false;        // of the version before dependencies
    bool cancel_notices_lost = false; // no controller that confirms cancels reaches the leader

    void elect();
    void load_records();
    void advance_leader();
    void rent(const std::shared_ptr<control::scheduler> &leader, const rental_request &request);
    void delete_machines(const std::shared_ptr<control::scheduler> &leader,
                         const std::vector<std::string> &names);
    // A direct message to a worker, shared by its delivery, its answer and its time-out.
    struct direct_message {
        std::shared_ptr<control::scheduler> leader;
        std::string machine;
        std::uint64_t incarnation = 0;
        std::uint64_t token = 0;
        std::vector<command> commands;
        bool starts = false;  // one of the commands is a start
        bool settled = false; // answered or given up
    };
    void send_command(const std::string &name);
    void deliver_command(const std::shared_ptr<direct_message> &message);
    bool may_renew() const;
    // Going back to the version before dependencies is allowed only then (docs/operations.md): its
    // leader does not know such a job, and would not count what runs of it.
    bool dependent_may_run() const;
    void tell_predecessor_ends();
    void notify_leader(const std::string &id);
    void notify_leader_at(const std::string &id, time_point time);

    // --- workers and cloud ---
    std::map<std::string, worker> workers;
    std::map<std::string, std::vector<std::string>> rentals; // machines by request
    int machine_count = 0;

    // Submitted with a mistake: every attempt fails, wherever it runs.
    static bool fails_everywhere(const std::string &job);
    void execute(worker &w, const std::vector<command> &commands);
    void execute_remove(worker &w, const command &order);
    void execute_stop(worker &w, const command &order);
    void execute_start(worker &w, const command &order);
    heartbeat make_heartbeat(worker &w);
    void advance_worker(worker &w);
    void send_heartbeat(worker &w);
    void finish_heartbeat(const std::string &name, std::uint64_t incarnation, time_point sent,
                          const std::vector<command> &commands, std::uint64_t token, bool answered);

    // --- users ---
    std::map<std::string, job_spec> submitted;
    // By id, the jobs that it was submitted to wait for, whatever their state was then.
    std::map<std::string, std::vector<std::string>> predecessors_of;
    std::set<std::string> cancel_confirmed;

    void submit(int number);
    // What a controller records of a job that names others: those that are done are left out, and
    // with a cancelled one the job is cancelled at once.
    void chain(wire::job_record &r, int number);
    void cancel(const std::string &id);
    void cancel_a_predecessor();
    // Those who wait for a job that is cancelled are cancelled with it.
    void cancel_dependents(const std::string &id);

    // --- rules ---
    std::vector<std::string> violations;
    std::set<std::string> started; // task#attempt that ran on a worker
    std::map<task_key, bool> completed;
    std::map<std::string, time_point> waits_since; // with room and allowance there
    std::map<std::string, int> vain_starts;        // of jobs that fail everywhere
    int starts = 0, leaders = 0, copies = 0, late_writes = 0, by_name = 0, at_end = 0;
    int chained = 0, chained_starts = 0, cancelled_with = 0;

    void report_violation(const std::string &what);
    // A healthy machine is not blamed for jobs that fail everywhere.
    void check_blame();
    void check_start(worker &w, const std::string &job, std::uint32_t index, std::uint64_t attempt);
    void check_start_order(const std::string &job);
    void check_runs_once(const worker &w, const std::string &job, std::uint32_t index,
                         std::uint64_t attempt);
    void check_team_limit_and_spread(const worker &w, const std::string &job);
    void check_cancelled();
    // After the troubles nothing waits 90 s while a machine that fits has room and its team may.
    // What the machines that are up hold and could take, as a job's rules see it.
    struct capacity_view {
        double used_by_team = 0; // cores
        bool has_room = false;   // for one task of the job, on a machine that fits
        bool job_is_running = false;
    };
    capacity_view view_capacity(const std::string &id, const job_spec &spec) const;
    void check_waits();
    bool all_predecessors_done(const std::string &id);
    bool has_undone_task(const std::string &id, const job_spec &spec);
};

} // namespace spindlecroft::test
