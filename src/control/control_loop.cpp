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
        return request_priority::user_request; // users wait for it
    case write_kind::done_tasks:
    case write_kind::cleanup:
    case write_kind::suspects:
        return request_priority::background;
    }
    return request_priority::background;
}

// Whether the change records what has ended, which may wait.
bool is_ending(const durable_write &write) {
    const auto &key = write.ops.front().key;
    return key.starts_with(store::keys::jobs_prefix) ||
           key.starts_with(store::keys::done_tasks_prefix) || write.kind == write_kind::suspects;
}

} // namespace

control_loop::control_loop(parts with, std::shared_ptr<leadership> by)
    : with_(with), by_(std::move(by)),
      commands_(std::make_shared<command_sender>(with.io, by_, with.member, with.settings,
                                                 with.command_sockets)),
      next_summary_(steady_now() + c::summary_gap) {}

awaitable<void> control_loop::run() {
    while (by_->may_act()) {
        auto now = steady_now();
        run_round(now);
        // Guards against rounds that follow one another while heartbeats wait for their answers.
        auto pause = std::max(c::control_loop_pause, c::control_loop_rest * (steady_now() - now));
        co_await net::sleep_for(pause);
        co_await by_->wake.wait_for(c::control_loop_idle);
    }
    // Entitlement lapsed without a word: leave nothing running on old knowledge.
    if (!by_->ended() && !with_.member.leading())
        with_.member.step_down("not entitled any more");
}

void control_loop::run_round(time_point now) {
    auto &core = *by_->active_scheduler();
    tell_predecessor_ends(core, with_.jobs, now);
    core.set_state_write_rps(with_.store.write_limit());
    core.tick(now);
    submit_writes(now);
    start_cloud_calls(now);
    commands_->send_urgent();
    if (now - with_.jobs.fresh_at() > c::leader_fresh)
        with_.jobs.request_read();
    by_->forget_cancels_upto(with_.jobs.revision());
    if (now > next_summary_)
        log_summary(now);
}

void control_loop::submit_writes(time_point now) {
    auto most = static_cast<std::size_t>(with_.settings.txn_ops);
    auto waiting = by_->endings.queue_length();
    auto room = waiting < most ? most - waiting : 0;
    for (const auto &write : by_->active_scheduler()->take_writes(now, room))
        submit_write(write);
}

void control_loop::submit_write(const durable_write &write) {
    store::write_unit change;
    change.owns_keys = true;
    change.conditions = write.conditions;
    change.ops = write.ops;
    change.priority = priority_of(write.kind);
    change.on_outcome = [by = by_, write](store::write_outcome outcome, std::uint64_t) {
        auto *core = by->scheduler_unless_ended();
        if (outcome == store::write_outcome::unconfirmed || !core)
            return;
        bool committed = outcome == store::write_outcome::committed;
        core->on_written(write, committed, steady_now());
        by->wake.notify();
    };
    auto &writer = is_ending(write) ? by_->endings : by_->placements;
    writer.submit(std::move(change));
}

void control_loop::start_cloud_calls(time_point now) {
    auto &core = *by_->active_scheduler();
    for (auto &wanted : core.take_rentals(now))
        net::spawn(with_.io, with_.cloud.rent(by_, wanted), "rent");
    // These look at every machine.
    if (now < next_look_)
        return;
    next_look_ = now + c::check_gap;
    if (auto names = core.take_deletions(now); !names.empty())
        net::spawn(with_.io, with_.cloud.delete_machines(by_, std::move(names)), "delete");
    if (core.wants_token_raise(now))
        with_.member.request_token_raise();
}

void control_loop::log_summary(time_point now) {
    next_summary_ = now + c::summary_gap;
    commands_->close_idle(now);
    spdlog::info("{}; {} and {} writes waiting; {} reports, {} commands",
                 by_->active_scheduler()->summary(), by_->placements.queue_length(),
                 by_->endings.queue_length(), by_->heartbeats_received, by_->commands_sent);
    by_->heartbeats_received = by_->commands_sent = 0;
}

} // namespace spindlecroft::control
