// The deciding part of a controller: events and time in, decisions out. It does no input or output,
// so that traces can replay it.
#pragma once
#include "catalog/dependency_graph.hpp"
#include "catalog/job.hpp"
#include "common/time.hpp"
#include "dependencies/chain_inheritance.hpp"
#include "dependencies/dependency_tracker.hpp"
#include "fairness/chain_order.hpp"
#include "fairness/team_order.hpp"
#include "fairness/team_queues.hpp"
#include "fleet/fleet_manager.hpp"
#include "model/boot_age.hpp"
#include "model/cluster_state.hpp"
#include "planning/bidder.hpp"
#include "planning/placement_rules.hpp"
#include "planning/rental_offer.hpp"
#include "planning/round_planner.hpp"
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

using planning::bidder;
using records::durable_write;
using records::write_kind;

class scheduler {
  public:
    scheduler(const settings::settings &s, std::vector<machine_type> types);

    // --- taking over ---
    // wall_offset: time of day minus the steady clock, for records that outlive this process.
    void begin(time_point now, std::uint64_t token, wall_clock clock);
    void load_job(const std::string &id, const wire::job_record &r, std::uint64_t version,
                  time_point now);
    void load_done(const std::string &record, const std::vector<wire::done_part> &parts);
    void load_placed(const std::string &record, const std::vector<wire::placed_task> &tasks,
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
    enum class heartbeat_age {
        fresh,
        stale, // of the current incarnation, but a newer message came before it
        dead,  // of an earlier incarnation, or of a machine that is gone
    };
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
    // The outcome of a change that was handed out.
    void on_written(const durable_write &write, bool committed, time_point now);
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

    void reconcile_listed_task(machine_t &m, const task_status &t, time_point now);
    void reconcile_exited_task(machine_t &m, job_t &j, attempt_t &a, const task_status &t,
                               time_point now);
    void reconcile_missing_task(machine_t &m, job_t &j, attempt_t &a, const heartbeat &r,
                                time_point now);
    void task_done(job_t &j, std::uint32_t index, time_point now);
    void task_failed(machine_t &m, job_t &j, const attempt_t &a, time_point now);
    // An attempt that runs for long enough, or is done, shows that the job works.
    bool job_runs(const job_t &j) const;
    // Draws the conclusions about machines and jobs on which attempts failed.
    void review_failures();
    void quarantine_faulty();
    void detect_outbound_partition(machine_t &m, const heartbeat &r, bool new_incarnation,
                                   time_point now);
    void adopt_task(machine_t &m, job_t &j, const task_status &t, time_point now);
    std::vector<command> commands(machine_t &m, bool in_answer, time_point now, bool may_start);

    void check_leases(time_point now);
    void check_cancelled(time_point now);
    void check_machines(time_point now);
    void plan_bids(time_point now);
    // The machines that may get work now, with what they hold brought up to date.
    std::vector<bidder *> make_bidders(time_point now);
    void plan_fleet(time_point now);
    void inherit_along_chains() { inheritance_.update(dependencies_.graph()); }
    void note_done(job_t &done_in, std::uint32_t index, time_point now) {
        done_records_.note_done(done_in, index, now);
    }
    std::size_t most_record_bytes() const { return records::most_record_bytes(settings_); }
    void write_rentals(std::vector<durable_write> &out);
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
    fleet::fleet_manager fleet_{settings_, state_, most_record_bytes()};

    bool ready_ = false;
    std::optional<time_point> hold_until_; // s; no task is placed before
    std::optional<time_point> last_plan_;
    std::optional<time_point> last_fleet_;
    std::optional<time_point> last_raise_;
    std::optional<time_point> last_check_;
    bool starts_ignored_ = false, starts_seen_ = false; // in the heartbeat at hand
};

} // namespace spindlecroft::control
