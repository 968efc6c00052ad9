// The deciding part of a controller: events and time in, decisions out. It does no input or output,
// so that traces can replay it.
#pragma once
#include "catalog/dependency_graph.hpp"
#include "catalog/job.hpp"
#include "common/time.hpp"
#include "fairness/chain_order.hpp"
#include "fairness/team_order.hpp"
#include "fairness/team_queues.hpp"
#include "model/boot_age.hpp"
#include "model/cluster_state.hpp"
#include "planning/bidder.hpp"
#include "reconciliation/command_composer.hpp"
#include "reconciliation/failure_review.hpp"
#include "reconciliation/heartbeat_age.hpp"
#include "reconciliation/heartbeat_reconciler.hpp"
#include "reconciliation/lease_monitor.hpp"
#include "settings/settings.hpp"
#include "wire/codec.hpp"
#include "workers/failure_ledger.hpp"
#include "workers/machine.hpp"
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace spindlecroft::control {

using planning::bid_round;
using planning::bidder;
using planning::rental_offer;
using planning::round_bid;

// Keys in the key-value store.
std::string active_key(const std::string &job);
std::string ended_key(const std::string &job);
std::string placed_key(const std::string &segment);
std::string done_key(const std::string &record);
std::string rental_key(const std::string &round);
inline constexpr const char *active_prefix = "j/a/";
inline constexpr const char *ended_prefix = "j/e/";
inline constexpr const char *jobs_prefix = "j/";
inline constexpr const char *placed_prefix = "p/";
inline constexpr const char *done_prefix = "d/";
inline constexpr const char *rental_prefix = "m/";
inline constexpr const char *types_key = "c/types";
inline constexpr const char *suspects_key = "f/suspects";
inline constexpr const char *leader_key = "leader";

enum class write_kind { placed, done, job_end, cleanup, rental_request, suspects };

// A change that must be durable before its consequence.
struct durable_write {
    write_kind kind = write_kind::placed;
    std::string job;
    std::vector<txn_condition> when; // on keys that others write too
    std::vector<txn_op> ops;         // on keys that only the leader writes, and the job's record
    std::string segment;             // placed, done: the record's name
    std::vector<std::pair<catalog::task_ref, std::uint64_t>> attempts; // placed: newly covered
    std::vector<catalog::task_ref> done;                               // done: newly covered
    std::string rental_request;                                        // rental: the round's name
    std::vector<std::string> suspects;                                 // suspects: the jobs
};

struct tracked_rental {
    rental_request what;
    std::string round;                 // the record that names it
    time_point asked_at{};             // s, steady clock; when the intent arose
    bool durable = false;              // the name is written: the cloud may be asked
    bool asking = false;               // a request is under way
    bool answered = false;             // machines are known
    std::vector<std::string> machines; // not yet listed
    time_point next_try{};             // s
};

class scheduler {
  public:
    scheduler(const settings::settings &s, std::vector<machine_type> types);

    // --- taking over ---
    // wall_offset: time of day minus the steady clock, for records that outlive this process.
    void begin(time_point now, std::uint64_t token, wall_clock clock);
    void load_job(const std::string &id, const wire::job_record &r, std::uint64_t version,
                  time_point now);
    void load_done(const std::string &record, const std::vector<wire::done_part> &parts);
    void load_placed(const std::string &segment, const std::vector<wire::placed_task> &tasks,
                     time_point now);
    // A placement record can't be read: what it names may run anywhere until each worker has
    // reported or its lease is over, and nothing starts before.
    void load_unreadable_placements(time_point now);
    void load_rental(const std::string &round, const wire::rental_record &r, time_point now);
    // Jobs that an earlier leader found to fail wherever they ran.
    void load_suspects(const std::vector<std::string> &jobs, time_point now);
    void loaded(time_point now);

    // --- events ---
    void on_job(const std::string &id, const wire::job_record &r, std::uint64_t version,
                time_point now);
    // A cancel that is durable, told before the job's record comes.
    void on_cancel(const cancel_notice &n, time_point now);
    // How a predecessor ended, as its durable record says; the time is that of day.
    void on_predecessor_end(const std::string &id, const catalog::wall_predecessor_end &end,
                            time_point now);
    // Predecessors of which neither an active nor an ended record is known here. Until they are,
    // the jobs that need them don't start.
    std::set<std::string> unresolved_predecessors() const;
    void on_token(std::uint64_t token);
    // A heartbeat, from /checkin or in the answer to a direct command.
    using heartbeat_age = reconciliation::heartbeat_age;
    // reply: it came in the answer to a direct command, not as a heartbeat of its own.
    heartbeat_age on_heartbeat(const heartbeat &r, time_point now, bool reply = false);
    // Orders to give in the answer to the newest heartbeat.
    // starts: whether tasks may be started now.
    std::vector<command> commands_for_answer(const std::string &machine, time_point now,
                                             bool starts = true);
    // Neither the heartbeat nor what is possibly running names a task.
    bool holds_nothing(const heartbeat &r) const;
    // The answer was given: the worker's lease may now last until then.
    void answered(const std::string &machine, heartbeat_age age, time_point now);
    // Orders for a direct command; marks the machine until the command is resolved.
    std::vector<command> direct_commands_for(const std::string &machine, time_point now,
                                             bool starts = true);
    // Whether every start among the commands is still wanted.
    bool starts_wanted(const std::vector<command> &commands) const;
    void command_resolved(const std::string &machine);
    void command_unresolved(const std::string &machine, std::uint64_t token,
                            std::uint64_t incarnation);
    void on_types(std::vector<machine_type> types);
    // A complete list of machines, asked for at asked_at.
    void on_machine_list(const std::vector<listed_machine> &hosts, time_point asked_at,
                         time_point now);
    void on_rented(const std::string &request, const std::vector<std::string> &machines,
                   time_point now);
    void on_rent_refused(const std::string &request, time_point now);
    void on_rent_unsure(const std::string &request, time_point now);
    void on_deleted(const std::vector<std::string> &machines, time_point now);
    void on_delete_failed(const std::vector<std::string> &machines);
    void on_written(const durable_write &w, bool ok, std::uint64_t revision, time_point now);
    void tick(time_point now);
    // Changes a second that the key-value store allows.
    void set_state_write_rps(double rps) { settings_.state_write_rps = rps; }

    // --- decisions ---
    // room: how many records that can wait may be given out now; what waits longer covers more.
    std::vector<durable_write> take_writes(time_point now, std::size_t room = 1000);
    std::vector<std::string> take_deletions(time_point now);
    std::vector<rental_request> take_rentals(time_point now);
    // Machines to which commands should go at once.
    std::vector<std::string> take_urgent() { return state_.take_urgent(); }
    // A command to it is under way already: it is to be given out again.
    void keep_urgent(const std::string &machine) { state_.mark_urgent(machine); }
    bool wants_token_raise(time_point now);

    // --- views ---
    struct progress {
        std::uint32_t done = 0, running = 0;
    };
    std::optional<progress> job_progress(const std::string &id) const;
    const workers::machine *find_machine(const std::string &name) const {
        return state_.find_machine(name);
    }
    const catalog::job *find_job(const std::string &id) const { return state_.find_job(id); }
    const std::map<std::string, catalog::job> &jobs() const { return state_.jobs(); }
    const std::map<std::string, workers::machine> &machines() const { return state_.machines(); }
    const std::vector<machine_type> &types() const { return state_.types(); }
    std::uint64_t token() const { return state_.term().token; }
    std::string summary() const;

  private:
    using job_t = catalog::job;
    using machine_t = workers::machine;
    using attempt_t = catalog::attempt;

    // A suspect job is retried one task at a time.
    bool may_place(const job_t &j, time_point now) const;
    void write_suspects(std::vector<durable_write> &out, time_point now);
    void cancel_job(job_t &j, std::optional<wall_time> told_at, time_point now);
    // Work that saves may do so before it makes room; other work would only lose the time.
    static seconds grace_of(const job_spec &s) {
        return s.checkpoint_interval > seconds{} ? s.checkpoint_duration : seconds{};
    }
    void check_machines(time_point now);
    void plan_bids(time_point now);
    void start_queued(machine_t &m, time_point now);
    bool bid_once(job_t &j, bid_round &round, time_point now);
    // What the machine bids for one task of the job; nothing: no room, or not in time.
    std::optional<round_bid> bid_of(const job_t &j, bidder &b, const std::vector<char> &places,
                                    seconds expected, bool some_failed, time_point now) const;
    std::optional<round_bid> best_bid(const job_t &j, bid_round &round, time_point now);
    // The places (type, zone, kind) where one more task of the job may be now.
    std::vector<char> places_for(const job_t &j) const;
    bidder *preempt_for_guarantee(const job_t &j, bid_round &round, time_point now);
    // The machines that may get work now, with what they hold brought up to date.
    std::vector<bidder *> make_bidders(time_point now);
    void refresh_bidder(bidder &b, time_point now);
    void rebid(time_point now);
    void plan_fleet(time_point now);
    std::optional<rental_offer> cheapest_offer(const job_spec &s, bool spot,
                                               const std::set<std::string> *zones,
                                               time_point now) const;
    void rent(const rental_offer &o, int count, time_point now);
    void fleet_for_services(std::vector<bidder> &fleet, time_point now);
    void fleet_for_arrays(std::vector<bidder> &fleet, time_point now);
    // How much longer than for spot machines work waits before ordinary ones are rented for it.
    double ordinary_patience(const job_spec &s) const;
    void return_idle(time_point now);
    void count_usage();
    void mark_guaranteed();
    fairness::waiting_job waiting_job_of(const job_t &j, time_point now) const;
    durable_write end_write(const job_t &j, time_point now);
    // --- dependencies (engine_dependencies.cpp) ---
    void add_dependencies(job_t &j, time_point now);
    void follow(const catalog::dependency_graph::changes &changes, time_point now);
    seconds chain_duration(const job_t &j) const;
    std::optional<fairness::chain_member> chain_member_of(const std::string &id) const;
    void inherit_along_chains();
    void note_own_end(const durable_write &end, time_point now);
    void take_inherited(const std::string &id, const fairness::inherited &from);
    void on_placements_written(const durable_write &w, bool ok, time_point now);
    void write_placements(std::vector<durable_write> &out, time_point now);
    std::string open_done_record(std::size_t bytes);
    std::size_t most_record_bytes() const;
    void note_done(job_t &j, std::uint32_t index, time_point now);
    void write_done(std::vector<durable_write> &out, time_point now, std::size_t &room);
    void on_done_written(const durable_write &w, bool ok, time_point now);
    void sweep_segments(time_point now);
    void clean_up(const std::string &key);
    void write_rentals(std::vector<durable_write> &out);

    settings::settings settings_;
    model::cluster_state state_;
    fairness::team_queues teams_;
    catalog::dependency_graph graph_;       // of jobs_; its times are of the steady clock
    std::set<std::string> inheriting_;      // jobs whose priority or due times come from others
    std::map<std::string, bidder> bidders_; // of machines, as last worked out
    std::map<std::string, tracked_rental> rentals_;
    struct rental_round {
        bool written = false, busy = false;
    };
    std::map<std::string, rental_round> rental_rounds_;
    std::map<std::string, time_point> refused_; // offers without capacity, until when
    std::set<std::string> sold_out_;   // offers whose last answer was not all that was asked for
    std::map<std::string, int> asked_; // machines asked for by offer, not answered yet
    static std::string offer_key(const std::string &type, const std::string &zone, bool spot);
    std::vector<std::string> suspects_written_; // as the record at the key-value store has them
    bool suspects_busy_ = false;
    std::optional<time_point> suspects_at_; // s; when the record was last written
    std::vector<durable_write> cleanup_;
    // Placements of any jobs share records, filled one after another, so that a round of placements
    // costs one change at the key-value store, however many jobs it touches.
    struct segment {
        std::vector<wire::placed_task> tasks;
        std::size_t bytes = 0;
        bool busy = false, open = true;
    };
    std::map<std::string, segment> segments_;
    // Done tasks share records in the same way: at full size one for each job would take more
    // changes a second than the key-value store allows.
    struct done_record {
        std::set<std::pair<std::string, std::uint32_t>> parts; // of jobs
        std::size_t bytes = 0;
        bool busy = false, open = true, dirty = false;
        bool too_large = false; // to be written again under the present limits
        time_point since{};     // s; when it became dirty
    };
    std::map<std::string, done_record> done_records_;
    std::string open_done_;
    std::uint64_t done_counter_ = 0;
    std::string open_segment_[2];               // of arrays; of services, which stay for long
    std::deque<catalog::task_ref> unplaced_[2]; // attempts that no record covers yet
    std::uint64_t segment_counter_ = 0;
    std::optional<time_point> last_sweep_;
    std::optional<time_point> next_placement_; // s

    std::uint64_t rental_counter_ = 0, rental_round_ = 0;
    std::optional<time_point> rental_round_at_; // s
    bool ready_ = false;
    std::optional<time_point> hold_until_; // s; no task is placed before
    std::optional<time_point> last_plan_;
    std::optional<time_point> last_fleet_;
    std::optional<time_point> last_rebid_;
    std::map<std::string, time_point> zone_doubt_until_;
    std::set<std::string> spare_;            // machines kept as warm room
    std::map<std::string, double> stopping_; // cpus of each team about to be free, this round
    std::optional<time_point> last_check_;   // s
    std::uint64_t preempted_tasks_ = 0;      // tasks stopped for others

    reconciliation::failure_review failure_review_{state_};
    reconciliation::heartbeat_reconciler heartbeats_{
        state_, settings_, failure_review_,
        [this](job_t &j, std::uint32_t index, time_point now) { note_done(j, index, now); }};
    reconciliation::command_composer commands_{state_};
    reconciliation::lease_monitor leases_{state_, settings_};
};

} // namespace spindlecroft::control
