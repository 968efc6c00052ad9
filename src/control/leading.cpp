// Taking over from the records, and driving the scheduler while this controller leads.
#include "constants.hpp"
#include "control/answers.hpp"
#include "control/leadership.hpp"
#include "store/keys.hpp"

namespace spindlecroft::control {

namespace c = constants;
using net::awaitable;
using net::steady_now;

bool controller::may_act(const std::shared_ptr<leadership> &l) const {
    return !l->over && l == lead_ && member_.leading();
}

void controller::elected() {
    deposed();
    auto l = std::make_shared<leadership>(io_, state_, settings_);
    lead_ = l;
    cache_.prompt(true);
    l->commits.fence = l->records.fence =
        [this, l = std::weak_ptr<leadership>(l)]() -> std::optional<txn_condition> {
        auto k = l.lock();
        if (!k || !may_act(k))
            return std::nullopt;
        return txn_condition{store::keys::leader, member_.token()};
    };
    l->commits.fence_failed = l->records.fence_failed = [this] { member_.want_check(); };
    net::spawn(io_, fail_over(l), "take over");
}

void controller::deposed() {
    if (!lead_)
        return;
    cache_.prompt(false);
    lead_->over = true;
    lead_->commits.stop();
    lead_->records.stop();
    lead_->wake.notify();
    lead_.reset();
}

awaitable<void> controller::fail_over(std::shared_ptr<leadership> l) {
    auto keep_trying = [&] { return may_act(l); };
    auto began = steady_now();
    // The machine types: from the records, or from the cloud the first time.
    std::vector<machine_type> types;
    std::uint64_t types_version = 0;
    bool types_unreadable = false;
    while (keep_trying() && types.empty()) {
        auto i =
            co_await state_.get(store::keys::machine_types, store::request_priority::leadership);
        if (i && i->found) {
            types_version = i->item.version;
            try {
                types = wire::parse_machine_types(i->item.value);
            } catch (const wire::malformed_message &e) {
                spdlog::error("{}: can't be read: {}", store::keys::machine_types, e.what());
                types_unreadable = true;
            }
        }
        if (i && types.empty()) {
            auto r = co_await cloud_call(l, "GET", wire::path_machine_types, "");
            if (r.ok()) {
                try {
                    types = wire::parse_machine_types(r.body);
                } catch (const wire::malformed_message &e) {
                    spdlog::error("machine types: {}", e.what());
                }
            }
        }
        if (types.empty())
            co_await net::sleep_for(c::state_retry);
    }
    std::optional<wire::range_answer> placed, done, rentals, suspects;
    while (keep_trying() && !(placed && done && rentals && suspects)) {
        if (!suspects)
            suspects = co_await state_.list(store::keys::suspect_jobs,
                                            store::request_priority::leadership);
        if (!placed)
            placed = co_await state_.list(store::keys::placements_prefix,
                                          store::request_priority::leadership);
        if (!done)
            done = co_await state_.list(store::keys::done_tasks_prefix,
                                        store::request_priority::leadership);
        if (!rentals)
            rentals = co_await state_.list(store::keys::rentals_prefix,
                                           store::request_priority::leadership);
        if (!(placed && done && rentals && suspects))
            co_await net::sleep_for(c::state_retry);
    }
    // The jobs as of now: every change up to this leadership is in the cache after this.
    while (keep_trying() && !co_await cache_.catch_up(c::failover_read)) {
    }
    if (!keep_trying())
        co_return;
    auto core = std::make_unique<scheduler>(settings_, types);
    auto now = steady_now();
    core->begin(now, member_.token(), wall_clock{now, net::wall_now()});
    for (auto &[id, j] : cache_.all())
        core->load_job(id, j.record, j.revision, now);
    // Guards against a record that can't be read and would leave the cluster without a leader's
    // decisions for good: it is passed over and gives no permission.
    auto each = [](const wire::range_answer &list, store::committer &writer, const char *prefix,
                   auto load, auto unreadable) {
        for (auto &i : list.items) {
            writer.set_revision(i.key, i.version);
            try {
                load(i.key.substr(std::string(prefix).size()), i.value);
            } catch (const wire::malformed_message &e) {
                spdlog::error("{}: can't be read: {}", i.key, e.what());
                unreadable();
            }
        }
    };
    each(
        *done, l->records, store::keys::done_tasks_prefix,
        [&](const std::string &name, const std::string &value) {
            core->load_done(name, wire::parse_done(value));
        },
        [] {}); // these tasks run again
    each(
        *placed, l->commits, store::keys::placements_prefix,
        [&](const std::string &name, const std::string &value) {
            core->load_placed(name, wire::parse_placed(value), now);
        },
        [&] { core->load_unreadable_placements(now); });
    each(
        *rentals, l->commits, store::keys::rentals_prefix,
        [&](const std::string &name, const std::string &value) {
            core->load_rental(name, wire::parse_rental_record(value), now);
        },
        [] {}); // the machines are used or returned as they appear
    each(
        *suspects, l->records, "",
        [&](const std::string &, const std::string &value) {
            core->load_suspects(wire::parse_suspects(value), now);
        },
        [] {}); // they are found out again
    tell_predecessor_ends(*core, now);
    core->loaded(now);
    std::erase_if(l->cancels, [&](auto &n) { return n.second.revision <= cache_.revision(); });
    for (auto &[id, n] : l->cancels)
        core->on_cancel(n, now);
    l->commits.set_revision(store::keys::machine_types, types_version);
    if (types_version == 0 || types_unreadable) {
        store::write_unit u;
        u.owned = true;
        u.ops = {{store::keys::machine_types, wire::encode_machine_types(types), 0}};
        u.priority = store::request_priority::accept;
        l->commits.submit(std::move(u));
    }
    if (!types_)
        types_ = types;
    l->core = std::move(core);
    spdlog::info("took over in {:.2f} s: {}", (steady_now() - began).count(), l->core->summary());
    // Holds the leadership alive until the last transaction is settled.
    net::spawn(
        io_, [](std::shared_ptr<leadership> l) -> awaitable<void> { co_await l->commits.run(); }(l),
        "commits");
    net::spawn(
        io_, [](std::shared_ptr<leadership> l) -> awaitable<void> { co_await l->records.run(); }(l),
        "records");
    net::spawn(io_, watch_cloud(l), "cloud");
    co_await run_control_loop(l);
}

static store::request_priority priority_of(write_kind k) {
    switch (k) {
    case write_kind::placed:
        return store::request_priority::placement;
    case write_kind::job_end:
        return store::request_priority::accept; // users wait for it
    case write_kind::done:
        return store::request_priority::background;
    case write_kind::rental_request:
        return store::request_priority::placement;
    case write_kind::cleanup:
    case write_kind::suspects:
        return store::request_priority::background;
    }
    return store::request_priority::background;
}

void controller::tell_predecessor_ends(scheduler &core, time_point now) const {
    for (auto &id : core.unresolved_predecessors())
        if (auto *end = cache_.dependencies().end_of(id))
            core.on_predecessor_end(id, *end, now);
}

// Drives the scheduler: time in, decisions out.
awaitable<void> controller::run_control_loop(std::shared_ptr<leadership> l) {
    auto next_summary = steady_now() + c::summary_gap;
    time_point next_look{};
    while (may_act(l)) {
        auto &core = *l->core;
        auto now = steady_now();
        tell_predecessor_ends(core, now);
        core.set_state_write_rps(state_.write_limit());
        core.tick(now);
        auto most = static_cast<std::size_t>(settings_.txn_ops);
        auto waiting = l->records.waiting();
        for (auto &w : core.take_writes(now, waiting < most ? most - waiting : 0)) {
            store::write_unit u;
            u.owned = true;
            u.conditions = w.when;
            u.ops = w.ops;
            u.priority = priority_of(w.kind);
            u.on_outcome = [l, w](store::write_outcome how, std::uint64_t revision) {
                if (how == store::write_outcome::lost || l->over || !l->core)
                    return;
                l->core->on_written(w, how == store::write_outcome::committed, revision,
                                    steady_now());
                l->wake.notify();
            };
            bool ended = w.ops.front().key.starts_with(store::keys::jobs_prefix) ||
                         w.ops.front().key.starts_with(store::keys::done_tasks_prefix) ||
                         w.kind == write_kind::suspects;
            (ended ? l->records : l->commits).submit(std::move(u));
        }
        for (auto &r : core.take_rentals(now))
            net::spawn(io_, rent(l, r), "rent");
        // These look at every machine.
        if (now >= next_look) {
            next_look = now + c::check_gap;
            if (auto names = core.take_deletions(now); !names.empty())
                net::spawn(io_, remove(l, std::move(names)), "delete");
            if (core.wants_token_raise(now))
                member_.want_raise();
        }
        // Guards against a start that waits for a whole report interval: what became urgent while a
        // command to the same machine is under way goes after it.
        for (auto &m : core.take_urgent()) {
            if (l->commanding.count(m) || l->commanding.size() >= sockets_.commands)
                core.keep_urgent(m);
            else
                net::spawn(io_, send_commands(l, m), "command");
        }
        if (now - cache_.fresh_at() > c::leader_fresh)
            cache_.want_read();
        std::erase_if(l->cancels, [&](auto &n) { return n.second.revision <= cache_.revision(); });
        if (now > next_summary) {
            next_summary = now + c::summary_gap;
            std::erase_if(l->workers, [&](auto &w) {
                return w.second.use_count() == 1 && now - w.second->used_at() > c::summary_gap;
            });
            spdlog::info("{}; {} and {} writes waiting; {} reports, {} commands", core.summary(),
                         l->commits.waiting(), l->records.waiting(), l->heartbeats_received,
                         l->commands_sent);
            l->heartbeats_received = l->commands_sent = 0;
        }
        // Guards against rounds that follow one another while heartbeats wait for their answers.
        co_await net::sleep_for(
            std::max(c::control_loop_pause, c::control_loop_rest * (steady_now() - now)));
        co_await l->wake.wait_for(c::control_loop_idle);
    }
    // Entitlement lapsed without a word: leave nothing running on old knowledge.
    if (lead_ == l && !member_.leading())
        member_.step_down("not entitled any more");
}

} // namespace spindlecroft::control
