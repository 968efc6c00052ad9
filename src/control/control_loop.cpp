#include "control/control_loop.hpp"
#include "constants.hpp"
#include "control/failover.hpp"
#include "store/keys.hpp"
#include <algorithm>

namespace spindlecroft::control {

namespace c = constants;
using net::awaitable;
using net::steady_now;
using store::request_priority;

namespace {

request_priority priority_of(write_kind kind) {
    switch (kind) {
    case write_kind::placements:
    case write_kind::rental:
        return request_priority::placement;
    case write_kind::job_end:
        return request_priority::user_request; // users wait for the end of the job
    case write_kind::done_tasks:
    case write_kind::cleanup:
    case write_kind::suspects:
        return request_priority::background;
    }
    return request_priority::background;
}

// Whether the change records the end of tasks or jobs, which can wait.
bool is_completion(const durable_write &write) {
    const auto &key = write.ops.front().key;
    return key.starts_with(store::keys::jobs_prefix) ||
           key.starts_with(store::keys::done_tasks_prefix) || write.kind == write_kind::suspects;
}

} // namespace

control_loop::control_loop(components components, std::shared_ptr<leadership> term)
    : components_(components), term_(std::move(term)),
      commands_(std::make_shared<command_sender>(components.io, term_, components.member,
                                                 components.settings, components.command_sockets)),
      next_summary_(steady_now() + c::summary_interval) {}

awaitable<void> control_loop::run() {
    while (term_->may_act()) {
        auto now = steady_now();
        run_round(now);
        // Leaves the event loop time to answer heartbeats between two rounds.
        auto round_pause =
            std::max(c::min_control_loop_pause, c::control_loop_rest_ratio * (steady_now() - now));
        co_await net::sleep_for(round_pause);
        co_await term_->work_available.wait_for(c::max_control_loop_pause);
    }
    // The authority expired without an explicit end of the leadership: step down, so that nothing
    // acts on outdated state.
    if (!term_->ended() && !components_.member.is_leading())
        components_.member.step_down("its authority has expired");
}

void control_loop::run_round(time_point now) {
    auto &scheduler = *term_->active_scheduler();
    apply_predecessor_ends(scheduler, components_.jobs, now);
    scheduler.set_store_write_rate(components_.store.write_limit());
    scheduler.tick(now);
    submit_writes(now);
    start_cloud_calls(now);
    commands_->send_urgent_commands();
    if (now - components_.jobs.fresh_at() > c::leader_max_read_age)
        components_.jobs.request_read();
    term_->drop_cancels_through(components_.jobs.revision());
    if (now > next_summary_)
        log_summary(now);
}

void control_loop::submit_writes(time_point now) {
    auto max_ops = static_cast<std::size_t>(components_.settings.txn_ops);
    auto waiting_writes = term_->completion_writer.queue_length();
    auto free_slots = waiting_writes < max_ops ? max_ops - waiting_writes : 0;
    for (const auto &write : term_->active_scheduler()->take_writes(now, free_slots))
        submit_write(write);
}

void control_loop::submit_write(const durable_write &write) {
    store::write_unit change;
    change.owns_keys = true;
    change.conditions = write.conditions;
    change.ops = write.ops;
    change.priority = priority_of(write.kind);
    change.on_outcome = [term = term_, write](store::write_outcome outcome, std::uint64_t) {
        auto *scheduler = term->scheduler_unless_ended();
        if (outcome == store::write_outcome::unconfirmed || !scheduler)
            return;
        bool committed = outcome == store::write_outcome::committed;
        scheduler->on_write_completed(write, committed, steady_now());
        term->work_available.notify();
    };
    auto &writer = is_completion(write) ? term_->completion_writer : term_->placement_writer;
    writer.submit(std::move(change));
}

void control_loop::start_cloud_calls(time_point now) {
    auto &scheduler = *term_->active_scheduler();
    for (auto &request : scheduler.take_rental_requests(now))
        net::spawn(components_.io, components_.cloud.rent_machines(term_, request),
                   "rental request");
    // The operations below iterate over all machines.
    if (now < next_fleet_scan_)
        return;
    next_fleet_scan_ = now + c::machine_check_interval;
    if (auto names = scheduler.take_deletions(now); !names.empty())
        net::spawn(components_.io, components_.cloud.delete_machines(term_, std::move(names)),
                   "machine deletion");
    if (scheduler.needs_token_raise(now))
        components_.member.request_token_raise();
}

void control_loop::log_summary(time_point now) {
    next_summary_ = now + c::summary_interval;
    commands_->close_idle_connections(now);
    spdlog::info("{}; {} placement writes and {} completion writes waiting; {} heartbeats "
                 "received, {} commands sent",
                 term_->active_scheduler()->summary(), term_->placement_writer.queue_length(),
                 term_->completion_writer.queue_length(), term_->heartbeats_received,
                 term_->commands_sent);
    term_->heartbeats_received = term_->commands_sent = 0;
}

} // namespace spindlecroft::control
