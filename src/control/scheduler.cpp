#include "control/scheduler.hpp"
#include "constants.hpp"
#include "store/keys.hpp"
#include <fmt/format.h>

namespace spindlecroft::control {

namespace c = constants;

namespace {

reconciliation::start_permission permission_for(bool starts) {
    return starts ? reconciliation::start_permission::granted
                  : reconciliation::start_permission::withheld;
}

} // namespace

scheduler::scheduler(const settings::settings &settings, std::vector<machine_type> types)
    : settings_(settings), state_(settings_, std::move(types)),
      planner_(
          settings_, state_,
          [this](const catalog::task_ref &task, job_shape shape) { placements_.add(task, shape); }),
      heartbeats_(state_, settings_, failure_review_,
                  [this](catalog::job &job, std::uint32_t index, time_point now) {
                      done_records_.note_done(job, index, now);
                  }) {}

// --- failover ---

void scheduler::begin(time_point now, std::uint64_t token, wall_clock clock) {
    state_.begin_term({token, token, now, clock});
}

void scheduler::load_unreadable_placements(time_point now) {
    placements_held_until_ =
        now + settings_.lease_duration * (1 + c::max_clock_drift) + c::lease_slack;
}

void scheduler::finish_loading(time_point now) {
    job_loader_.restore_waiting_tasks();
    ready_ = true;
    state_.request_planning();
    commands_.begin_term(now);
    last_scaling_ = now; // wait for heartbeats before the first rental
}

// --- workers ---

scheduler::heartbeat_age scheduler::on_heartbeat(const heartbeat &received, time_point now,
                                                 bool reply) {
    auto origin = reply ? reconciliation::heartbeat_origin::command_reply
                        : reconciliation::heartbeat_origin::unsolicited;
    return heartbeats_.reconcile(received, origin, now);
}

std::vector<command> scheduler::commands_for_response(const std::string &machine, time_point now,
                                                      bool starts) {
    return commands_.for_answer(machine, permission_for(starts), now);
}

std::vector<command> scheduler::direct_commands_for(const std::string &machine, time_point now,
                                                    bool starts) {
    return commands_.for_direct_command(machine, permission_for(starts), now);
}

// --- the cloud ---

void scheduler::on_rent_refused(const std::string &request, time_point now) {
    if (fleet_.on_rent_refused(request, now))
        last_scaling_.reset(); // choose another offer at once
}

// --- the store ---

// Ordered by urgency: writes that tasks wait for come first, cleanup last.
std::vector<durable_write> scheduler::take_writes(time_point now, std::size_t max_deferrable) {
    std::vector<durable_write> out;
    if (!ready_)
        return out;
    placements_.take_writes(out, now);
    cleanup_.sweep(placements_, done_records_, now);
    job_ends_.take_writes(out, now);
    done_records_.take_writes(out, now, max_deferrable);
    take_rental_writes(out);
    suspect_record_.take_writes(out, now);
    cleanup_.take_writes(out, max_deferrable);
    return out;
}

void scheduler::take_rental_writes(std::vector<durable_write> &out) {
    for (auto &change : fleet_.take_record_changes()) {
        durable_write write;
        write.kind = write_kind::rental;
        write.rental_round = change.round;
        auto value = change.record ? wire::encode_rental_record(*change.record) : "";
        write.ops.push_back({store::keys::rentals(change.round), std::move(value), 0});
        out.push_back(std::move(write));
    }
}

void scheduler::on_rental_written(const durable_write &write, bool committed) {
    using fleet::rental_record_outcome;
    bool is_deletion = write.ops.front().value.empty();
    auto outcome = rental_record_outcome::failed;
    if (committed)
        outcome = is_deletion ? rental_record_outcome::dropped : rental_record_outcome::written;
    fleet_.on_record_written(write.rental_round, outcome);
}

void scheduler::on_write_completed(const durable_write &write, bool committed, time_point now) {
    state_.request_planning();
    switch (write.kind) {
    case write_kind::placements:
        placements_.on_written(write, committed, now);
        break;
    case write_kind::suspects:
        suspect_record_.on_written(write, committed);
        break;
    case write_kind::done_tasks:
        done_records_.on_written(write, committed, now);
        break;
    case write_kind::job_end:
        if (auto end = job_ends_.on_written(write, committed, now))
            dependencies_.on_job_ended(write.job, *end, now);
        break;
    case write_kind::rental:
        on_rental_written(write, committed);
        break;
    case write_kind::cleanup:
        break;
    }
}

// --- periodic work ---

void scheduler::tick(time_point now) {
    if (!ready_)
        return;
    if (elapsed(last_check_, c::machine_check_interval, now))
        check(now);
    bool planning_due =
        state_.is_planning_requested() && elapsed(last_plan_, c::min_planning_interval, now);
    if (planning_due || elapsed(last_plan_, c::max_planning_interval, now))
        plan(now);
    if (elapsed(last_scaling_, c::scaling_interval, now))
        scale(now);
}

void scheduler::check(time_point now) {
    last_check_ = now;
    leases_.release_expired(now);
    leases_.enforce_cancellations(now);
    failure_review_.review();
    fleet_.check_machines(now);
}

void scheduler::plan(time_point now) {
    state_.clear_planning_request();
    last_plan_ = now;
    if (now < placements_held_until_)
        return;
    planner_.rebid_queued(now);
    inheritance_.update(dependencies_.graph());
    planner_.plan(now);
}

void scheduler::scale(time_point now) {
    last_scaling_ = now;
    // Copies, because the fleet plan must not change the bidders.
    std::vector<planning::bidder> in_use;
    for (const auto *machine : planner_.bidders().eligible_bidders(now))
        in_use.push_back(*machine);
    fleet_.plan(std::move(in_use), now);
}

// --- views ---

std::optional<scheduler::progress> scheduler::find_progress(const std::string &id) const {
    const auto *job = state_.find_job(id);
    if (!job)
        return {};
    return progress{job->durable_done_count, job->running_tasks()};
}

std::string scheduler::summary() const {
    std::size_t ready = 0, booting = 0, spot = 0, queued = 0, attempts = 0, waiting = 0,
                running = 0;
    for (const auto &[name, machine] : state_.machines()) {
        ++(machine.is_up ? ready : booting);
        spot += machine.spot ? 1 : 0;
        queued += machine.queue.size();
        attempts += machine.attempts.size();
    }
    for (const auto &[id, job] : state_.jobs()) {
        waiting += job.waiting_tasks();
        running += job.running_tasks();
    }
    return fmt::format("machines {} up {} booting ({} spot), jobs {}, tasks {} placed {} running "
                       "{} queued {} waiting, {} preempted",
                       ready, booting, spot, state_.jobs().size(), attempts, running, queued,
                       waiting, planner_.preempted_tasks());
}

} // namespace spindlecroft::control
