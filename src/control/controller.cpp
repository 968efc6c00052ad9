#include "control/controller.hpp"
#include "catalog/cancelled_record.hpp"
#include "constants.hpp"
#include "control/answers.hpp"
#include <fmt/format.h>

namespace spindlecroft::control {

namespace c = constants;
using net::awaitable;
using net::now_s;
using net::response;

struct controller::leadership {
    leadership(net::asio::io_context &io, store::state_client &state, const settings::settings &s)
        : commits(io, state, s, "leader"), records(io, state, s, "records"), wake(io) {}
    std::unique_ptr<engine> core; // once the records are read
    // What a start or a rental waits for must not queue behind what can wait: one writes
    // placements, rentals and types, the other what has ended. No key is written by both.
    store::committer commits, records;
    net::signal wake;
    bool over = false;
    std::set<std::string> commanding;
    // Cancels told by other controllers or confirmed here that the records don't show yet.
    std::map<std::string, cancel_notice> cancels;
    std::uint64_t reports = 0, commands = 0;                     // since the last summary
    std::map<std::string, std::shared_ptr<net::client>> workers; // by address
};

static net::server_limits limits_of(const settings::settings &s, bool back) {
    auto plan = settings::plan_sockets(s.max_connections);
    return {back ? plan.back : plan.api, c::idle_connection_s, c::slow_request_s};
}

controller::controller(net::asio::io_context &io, const settings::settings &s)
    : io_(io), settings_(s), sockets_(settings::plan_sockets(s.max_connections)),
      state_(io, settings_), member_(io, settings_, state_), cache_(io, state_),
      user_commits_(io, state_, settings_, "users"), cloud_(io, settings_.cloud, c::pool_idle),
      cloud_budget_(0.9 * settings_.cloud_rps, 2.0),
      api_(
          io, settings_.api, [this](net::request r) { return on_api(std::move(r)); },
          limits_of(settings_, false), "api"),
      back_(
          io, settings_.back, [this](net::request r) { return on_peer(std::move(r)); },
          limits_of(settings_, true), "back") {
    member_.on_elected = [this] { elected(); };
    member_.on_deposed = [this] { deposed(); };
    member_.on_token = [this](std::uint64_t token) {
        if (lead_ && lead_->core)
            lead_->core->on_token(token);
    };
    member_.records = [this] {
        return membership::member::records_view{cache_.loaded(), cache_.revision(),
                                                cache_.fresh_at()};
    };
    member_.want_read = [this] { cache_.want_read(); };
    member_.on_cancels = [this](const std::vector<cancel_notice> &news) {
        for (auto &n : news)
            obey_cancel(n);
    };
    cache_.on_active = [this](const std::string &id, const catalog::cached_job &j) {
        if (j.record.cancelled)
            member_.note_cancel({id, j.version, j.record.cancelled_at});
        if (lead_ && lead_->core) {
            lead_->core->on_job(id, j.record, j.version, now_s());
            if (auto n = lead_->cancels.find(id); n != lead_->cancels.end()) {
                if (j.version >= n->second.revision)
                    lead_->cancels.erase(n);
                else
                    lead_->core->on_cancel(n->second, now_s());
            }
            lead_->wake.notify();
        }
    };
}

void controller::start() {
    back_.start();
    api_.start();
    net::spawn(io_, member_.run(), "membership");
    net::spawn(io_, cache_.run_watch(), "watch");
    net::spawn(io_, cache_.run_reads(), "reads");
    net::spawn(io_, cache_.run_predecessor_reads(), "predecessor reads");
    net::spawn(io_, user_commits_.run(), "user commits");
    net::spawn(io_, load_types(), "machine types");
}

void controller::stop() {
    stopping_ = true;
    api_.stop();
    back_.stop();
    member_.stop();
    cache_.stop();
    user_commits_.stop();
    deposed();
}

// --- requests ---

awaitable<response> controller::on_api(net::request r) {
    auto target = r.target.substr(0, r.target.find('?'));
    const std::string jobs = wire::path_jobs;
    if (target == wire::path_report) {
        if (r.method != "POST")
            co_return error(405, "use POST");
        auto answer = co_await on_checkin(std::move(r.body));
        // Guards against workers that find no socket: beyond the bound each comes anew for its
        // report.
        answer.close = answer.close || api_.crowded();
        co_return answer;
    }
    if (target == wire::path_ready) {
        if (r.method != "GET")
            co_return error(405, "use GET");
        co_return ready();
    }
    // Users are shed before workers, whose leases would run out.
    if (api_.crowded()) {
        auto answer = unsure("too many connections");
        answer.close = true;
        co_return answer;
    }
    if (target == jobs) {
        if (r.method != "POST")
            co_return error(405, "use POST");
        co_return co_await on_submit(std::move(r.body));
    }
    if (target.starts_with(jobs + "/")) {
        auto id = target.substr(jobs.size() + 1);
        const std::string suffix = std::string("/") + wire::suffix_cancel;
        if (id.ends_with(suffix)) {
            id.resize(id.size() - suffix.size());
            if (r.method != "POST")
                co_return error(405, "use POST");
            co_return co_await on_cancel(std::move(id));
        }
        if (id.find('/') != std::string::npos)
            co_return error(404, "no such path");
        if (r.method != "GET")
            co_return error(405, "use GET");
        co_return co_await on_poll(std::move(id));
    }
    co_return error(404, "no such path");
}

response controller::ready() const {
    if (!cache_.loaded() || !types_)
        return unsure("starting");
    // Cut from the state service while others are not: they serve better.
    // A node that hears neither it nor any other controller can't tell, and is no better.
    if (membership::better_served_elsewhere(state_.silence(now_s()),
                                            member_.state_served_elsewhere(),
                                            member_.alone_for(c::isolated_s)))
        return unsure("no state service");
    return {200, "{}", 0, false};
}

// Guards against a user who stays with a node that can't read: the load balancer moves no open
// connection, so every question on it would fail while other nodes answer.
response controller::cut_off() const {
    auto r = unsure("the state service does not answer");
    r.close = state_.silence(now_s()) > c::state_timeout_s;
    return r;
}

awaitable<std::optional<store::unit_outcome>> controller::commit(store::unit u, double limit_s) {
    struct shared {
        explicit shared(net::asio::io_context &io) : signal(io) {}
        net::signal signal;
        std::optional<store::unit_outcome> how;
    };
    auto s = std::make_shared<shared>(io_);
    u.result = [s, noted = std::move(u.noted)](store::unit_outcome how, std::uint64_t revision) {
        if (noted && how == store::unit_outcome::committed)
            noted(revision);
        s->how = how;
        s->signal.notify();
    };
    double limit = now_s() + limit_s;
    u.give_up_at = limit; // its user is told 503 then, and asks again
    user_commits_.submit(std::move(u));
    while (!s->how && now_s() < limit)
        co_await s->signal.wait_for(limit - now_s());
    co_return s->how;
}

awaitable<std::optional<std::optional<job_status>>> controller::current(std::string id) {
    using result = std::optional<std::optional<job_status>>;
    // What has ended stays as it ended: no read is needed.
    if (auto e = cache_.ended(id)) {
        job_status s;
        s.id = id;
        s.stage = e->stage;
        s.done = e->done;
        co_return result(s);
    }
    if (!co_await cache_.catch_up(1.5))
        co_return std::nullopt;
    if (!co_await cache_.resolve_predecessors(id))
        co_return std::nullopt;
    job_status s;
    s.id = id;
    if (auto *j = cache_.active(id)) {
        bool with_predecessor = cache_.dependencies().of(id) == catalog::standing::cancelled;
        if (j->record.cancelled || with_predecessor) {
            s.stage = job_stage::cancelled;
            co_return result(s);
        }
        std::optional<engine::progress> p;
        if (lead_ && lead_->core) {
            p = lead_->core->job_progress(id);
        } else {
            auto i = progress_.find(id);
            if (i != progress_.end())
                p = i->second;
            if (!progress_busy_ && now_s() - progress_at_ > c::progress_gap_s)
                net::spawn(io_, fetch_progress(), "progress");
        }
        if (p) {
            s.done = p->done;
            s.running = p->running;
        }
        s.stage = s.running > 0 ? job_stage::running : job_stage::pending;
        co_return result(s);
    }
    auto e = cache_.ended(id);
    if (!e && cache_.known_absent(id))
        co_return result(std::in_place, std::nullopt);
    if (!e) {
        auto read = co_await cache_.read_ended(id);
        if (!read)
            co_return std::nullopt;
        if (!*read) {
            // Neither active at the shared read nor ended after it: never accepted then. Unless
            // the watch has it by now.
            if (cache_.active(id))
                co_return std::nullopt;
            co_return result(std::in_place, std::nullopt);
        }
        e = **read;
    }
    s.stage = e->stage;
    s.done = e->done;
    co_return result(s);
}

awaitable<response> controller::on_poll(std::string id) {
    if (!wire::valid_job_id(id))
        co_return error(404, "no such job");
    if (!cache_.loaded())
        co_return unsure("starting");
    auto s = co_await current(id);
    if (!s)
        co_return cut_off();
    if (!*s)
        co_return error(404, "no such job");
    co_return response{200, wire::encode_status(**s), 0, false};
}

awaitable<response> controller::on_cancel(std::string id) {
    if (!wire::valid_job_id(id))
        co_return error(404, "no such job");
    if (!cache_.loaded() || user_commits_.full())
        co_return unsure("starting");
    double limit = now_s() + c::user_request_s;
    while (now_s() < limit - 1.5) {
        auto s = co_await current(id);
        if (!s)
            co_return cut_off();
        if (!*s)
            co_return error(404, "no such job");
        if ((*s)->stage == job_stage::done || (*s)->stage == job_stage::cancelled)
            co_return response{200, wire::encode_accepted(id, (*s)->stage), 0, false};
        auto *j = cache_.active(id);
        if (!j)
            continue;
        auto record = catalog::cancelled_record(j->record, wall_s(), settings_.value_bytes());
        store::unit u;
        u.rank = store::urgency::cancel;
        u.when = {{active_key(id), j->version}};
        u.ops = {{active_key(id), wire::encode_job_record(record), 0}};
        // Durable first, then known to whoever may renew leases, then told: also where the answer
        // from the state service comes after the user has gone.
        u.noted = [this, id, at = record.cancelled_at](std::uint64_t revision) {
            cancel_notice n{id, revision, at};
            member_.note_cancel(n);
            obey_cancel(n);
        };
        auto how = co_await commit(std::move(u), std::max(0.2, limit - now_s()));
        if (how == store::unit_outcome::committed) {
            co_return response{200, wire::encode_accepted(id, job_stage::cancelled), 0, false};
        }
        if (how != store::unit_outcome::conflict)
            break;
    }
    co_return cut_off();
}

bool controller::may_renew(double now) const {
    return membership::may_renew(now, member_.cancels_known_until(), settings_.lease_s,
                                 settings_.cancel_s);
}

// Acted on without the state service; what the records will say of the same changes nothing more.
void controller::obey_cancel(const cancel_notice &n) {
    if (!lead_ || n.revision <= cache_.revision())
        return;
    lead_->cancels[n.job] = n;
    if (lead_->core) {
        lead_->core->on_cancel(n, now_s());
        lead_->wake.notify();
    }
}

awaitable<response> controller::on_checkin(std::string body) {
    auto elsewhere = [&] {
        auto hint = member_.leader_hint();
        return response{421, wire::encode_redirect(hint == settings_.node ? "" : hint), 0, false};
    };
    member_.note_report();
    if (!member_.leading() || !lead_)
        co_return elsewhere();
    auto l = lead_;
    // A new leader that is still reading the records has an answer within moments.
    for (double limit = now_s() + 1.5; !l->core && now_s() < limit && in_charge(l);)
        co_await net::sleep_s(0.05);
    if (!l->core || !in_charge(l))
        co_return elsewhere();
    worker_report report;
    try {
        report = wire::parse_report(body);
    } catch (const wire::bad_message &e) {
        spdlog::warn("a report was malformed: {}", e.what());
        co_return error(400, e.what());
    }
    ++l->reports;
    double now = now_s();
    auto age = l->core->on_report(report, now);
    l->wake.notify();
    if (age == engine::report_age::dead)
        co_return unsure("out of date");
    // Guards against ran_cancelled: where a cancel may have been confirmed that this node can't
    // know of, only a machine that holds nothing is answered, and it gets nothing to start.
    bool blind = !may_renew(now);
    if (blind && !l->core->holds_nothing(report))
        co_return elsewhere();
    auto orders = l->core->orders_in_answer(report.machine, now, !blind);
    auto text = wire::encode_orders(member_.token(), orders);
    // Orders that do not fit a line wait for the next report.
    while (text.size() > c::line_limit - 1024 && orders.size() > 1) {
        orders.resize(orders.size() / 2);
        text = wire::encode_orders(member_.token(), orders);
    }
    // Checked right before the answer: without entitlement it must not renew a lease.
    if (!in_charge(l) || (!blind && !may_renew(now_s())))
        co_return elsewhere();
    l->core->answered(report.machine, age, now_s());
    co_return response{200, text, 0, false};
}

// --- other controllers ---

awaitable<response> controller::on_peer(net::request r) {
    if (r.method != "POST" || r.target != "/member")
        co_return error(404, "no such path");
    try {
        auto m = wire::parse_peer(r.body);
        if (m.text("kind") == "progress") {
            wire::peer_message out;
            if (lead_ && lead_->core && member_.leading()) {
                out.numbers[":leading"] = 1;
                for (auto &[id, j] : lead_->core->jobs())
                    out.numbers[id] =
                        (static_cast<std::uint64_t>(j.done_count) << 32) | j.running();
            }
            co_return response{200, wire::encode_peer(out), 0, true};
        }
        co_return response{200, member_.on_message(r.body), 0, true};
    } catch (const wire::bad_message &e) {
        co_return error(400, e.what());
    }
}

awaitable<void> controller::fetch_progress() {
    progress_busy_ = true;
    auto *p = member_.peer(member_.leader_hint());
    if (p) {
        wire::peer_message m;
        m.texts["kind"] = "progress";
        auto r = co_await p->call("POST", "/member", wire::encode_peer(m), c::peer_timeout_s, true);
        try {
            if (r.ok()) {
                auto a = wire::parse_peer(r.body);
                if (a.number(":leading")) {
                    progress_.clear();
                    for (auto &[id, v] : a.numbers)
                        progress_[id] = {static_cast<std::uint32_t>(v >> 32),
                                         static_cast<std::uint32_t>(v & 0xffffffff)};
                }
            }
        } catch (const wire::bad_message &e) {
            spdlog::warn("progress: {}", e.what());
        }
    }
    progress_at_ = now_s();
    progress_busy_ = false;
}

awaitable<void> controller::load_types() {
    while (!stopping_ && !types_) {
        auto i = co_await state_.get(types_key, store::urgency::accept);
        if (i && i->found) {
            try {
                auto t = wire::parse_types(i->kv.value);
                if (!types_)
                    types_ = std::move(t);
            } catch (const wire::bad_message &e) {
                spdlog::error("machine types: {}", e.what());
            }
        }
        if (!types_)
            co_await net::sleep_s(0.5);
    }
}

// --- leading ---

bool controller::in_charge(const std::shared_ptr<leadership> &l) const {
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
        if (!k || !in_charge(k))
            return std::nullopt;
        return txn_condition{leader_key, member_.token()};
    };
    l->commits.fence_failed = l->records.fence_failed = [this] { member_.want_check(); };
    net::spawn(io_, take_over(l), "take over");
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

awaitable<void> controller::take_over(std::shared_ptr<leadership> l) {
    auto keep_trying = [&] { return in_charge(l); };
    double began = now_s();
    // The machine types: from the records, or from the cloud the first time.
    std::vector<machine_type> types;
    std::uint64_t types_version = 0;
    bool types_unreadable = false;
    while (keep_trying() && types.empty()) {
        auto i = co_await state_.get(types_key, store::urgency::leadership);
        if (i && i->found) {
            types_version = i->kv.version;
            try {
                types = wire::parse_types(i->kv.value);
            } catch (const wire::bad_message &e) {
                spdlog::error("{}: can't be read: {}", types_key, e.what());
                types_unreadable = true;
            }
        }
        if (i && types.empty()) {
            auto r = co_await cloud_call(l, "GET", wire::path_types, "");
            if (r.ok()) {
                try {
                    types = wire::parse_types(r.body);
                } catch (const wire::bad_message &e) {
                    spdlog::error("machine types: {}", e.what());
                }
            }
        }
        if (types.empty())
            co_await net::sleep_s(c::state_retry_s);
    }
    std::optional<wire::range_answer> placed, done, rentals, suspects;
    while (keep_trying() && !(placed && done && rentals && suspects)) {
        if (!suspects)
            suspects = co_await state_.list(suspects_key, store::urgency::leadership);
        if (!placed)
            placed = co_await state_.list(placed_prefix, store::urgency::leadership);
        if (!done)
            done = co_await state_.list(done_prefix, store::urgency::leadership);
        if (!rentals)
            rentals = co_await state_.list(rental_prefix, store::urgency::leadership);
        if (!(placed && done && rentals && suspects))
            co_await net::sleep_s(c::state_retry_s);
    }
    // The jobs as of now: every change up to this leadership is in the cache after this.
    while (keep_trying() && !co_await cache_.catch_up(1.0)) {
    }
    if (!keep_trying())
        co_return;
    auto core = std::make_unique<engine>(settings_, types);
    double now = now_s();
    core->begin(now, member_.token(), wall_s() - now);
    for (auto &[id, j] : cache_.all())
        core->load_job(id, j.record, j.version, now);
    // Guards against a record that can't be read and would leave the cluster without a leader's
    // decisions for good: it is passed over and gives no permission.
    auto each = [](const wire::range_answer &list, store::committer &writer, const char *prefix,
                   auto load, auto unreadable) {
        for (auto &i : list.items) {
            writer.set_version(i.key, i.version);
            try {
                load(i.key.substr(std::string(prefix).size()), i.value);
            } catch (const wire::bad_message &e) {
                spdlog::error("{}: can't be read: {}", i.key, e.what());
                unreadable();
            }
        }
    };
    each(
        *done, l->records, done_prefix,
        [&](const std::string &name, const std::string &value) {
            core->load_done(name, wire::parse_done(value));
        },
        [] {}); // these tasks run again
    each(
        *placed, l->commits, placed_prefix,
        [&](const std::string &name, const std::string &value) {
            core->load_placed(name, wire::parse_placed(value), now);
        },
        [&] { core->load_unreadable_placements(now); });
    each(
        *rentals, l->commits, rental_prefix,
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
    l->commits.set_version(types_key, types_version);
    if (types_version == 0 || types_unreadable) {
        store::unit u;
        u.owned = true;
        u.ops = {{types_key, wire::encode_types(types), 0}};
        u.rank = store::urgency::accept;
        l->commits.submit(std::move(u));
    }
    if (!types_)
        types_ = types;
    l->core = std::move(core);
    spdlog::info("took over in {:.2f} s: {}", now_s() - began, l->core->summary());
    // Holds the leadership alive until the last transaction is settled.
    net::spawn(
        io_, [](std::shared_ptr<leadership> l) -> awaitable<void> { co_await l->commits.run(); }(l),
        "commits");
    net::spawn(
        io_, [](std::shared_ptr<leadership> l) -> awaitable<void> { co_await l->records.run(); }(l),
        "records");
    net::spawn(io_, watch_cloud(l), "cloud");
    co_await pump(l);
}

static store::urgency rank_of(write_kind k) {
    switch (k) {
    case write_kind::placed:
        return store::urgency::placement;
    case write_kind::job_end:
        return store::urgency::accept; // users wait for it
    case write_kind::done:
        return store::urgency::rest;
    case write_kind::rental:
        return store::urgency::placement;
    case write_kind::cleanup:
    case write_kind::suspects:
        return store::urgency::rest;
    }
    return store::urgency::rest;
}

void controller::tell_predecessor_ends(engine &core, double now) const {
    for (auto &id : core.unresolved_predecessors())
        if (auto *end = cache_.dependencies().end_of(id))
            core.on_predecessor_end(id, *end, now);
}

// Drives the engine: time in, decisions out.
awaitable<void> controller::pump(std::shared_ptr<leadership> l) {
    double next_summary = now_s() + c::summary_gap_s, next_look = 0;
    while (in_charge(l)) {
        auto &core = *l->core;
        double now = now_s();
        tell_predecessor_ends(core, now);
        core.set_state_write_rps(state_.write_limit());
        core.tick(now);
        auto most = static_cast<std::size_t>(settings_.txn_ops);
        auto waiting = l->records.waiting();
        for (auto &w : core.take_writes(now, waiting < most ? most - waiting : 0)) {
            store::unit u;
            u.owned = true;
            u.when = w.when;
            u.ops = w.ops;
            u.rank = rank_of(w.kind);
            u.result = [l, w](store::unit_outcome how, std::uint64_t revision) {
                if (how == store::unit_outcome::lost || l->over || !l->core)
                    return;
                l->core->on_written(w, how == store::unit_outcome::committed, revision, now_s());
                l->wake.notify();
            };
            bool ended = w.ops.front().key.starts_with(jobs_prefix) ||
                         w.ops.front().key.starts_with(done_prefix) ||
                         w.kind == write_kind::suspects;
            (ended ? l->records : l->commits).submit(std::move(u));
        }
        for (auto &r : core.take_rentals(now))
            net::spawn(io_, rent(l, r), "rent");
        // These look at every machine.
        if (now >= next_look) {
            next_look = now + c::check_gap_s;
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
                net::spawn(io_, command(l, m), "command");
        }
        if (now - cache_.fresh_at() > c::leader_fresh_s)
            cache_.want_read();
        std::erase_if(l->cancels, [&](auto &n) { return n.second.revision <= cache_.revision(); });
        if (now > next_summary) {
            next_summary = now + c::summary_gap_s;
            std::erase_if(l->workers, [&](auto &w) {
                return w.second.use_count() == 1 && now - w.second->used_at() > c::summary_gap_s;
            });
            spdlog::info("{}; {} and {} writes waiting; {} reports, {} commands", core.summary(),
                         l->commits.waiting(), l->records.waiting(), l->reports, l->commands);
            l->reports = l->commands = 0;
        }
        // Guards against rounds that follow one another while reports wait for their answers.
        co_await net::sleep_s(std::max(0.02, c::pump_rest * (now_s() - now)));
        co_await l->wake.wait_for(0.2);
    }
    // Entitlement lapsed without a word: leave nothing running on old knowledge.
    if (lead_ == l && !member_.leading())
        member_.resign("not entitled any more");
}

awaitable<net::reply> controller::cloud_call(std::shared_ptr<leadership> l, std::string method,
                                             std::string target, std::string body) {
    while (!cloud_budget_.take(1, store::urgency::leadership, now_s()))
        co_await net::sleep_s(0.05);
    // Guards against a leader that stood still, or waited for the cloud's limit, and is none any
    // more: it would delete machines that the next one uses.
    if (!in_charge(l))
        co_return net::reply{};
    net::permission permitted = [this, l] { return in_charge(l); };
    auto r = co_await cloud_.call(std::move(method), std::move(target), std::move(body),
                                  c::cloud_timeout_s, false, std::move(permitted));
    if (r.how == net::outcome::answered && r.status == 429)
        cloud_budget_.drain();
    co_return r;
}

awaitable<void> controller::watch_cloud(std::shared_ptr<leadership> l) {
    double next_types = now_s() + c::types_refresh_s;
    while (in_charge(l)) {
        double asked = now_s();
        std::vector<host> hosts;
        std::string after;
        bool whole = false;
        while (in_charge(l)) {
            auto r = co_await cloud_call(l, "GET", wire::hosts_target(after, c::host_page), "");
            if (!r.ok())
                break;
            try {
                auto page = wire::parse_hosts(r.body);
                hosts.insert(hosts.end(), page.hosts.begin(), page.hosts.end());
                if (!page.more || page.hosts.empty()) {
                    whole = true;
                    break;
                }
                after = page.hosts.back().id;
            } catch (const wire::bad_message &e) {
                spdlog::warn("machine list: {}", e.what());
                break;
            }
        }
        if (whole && in_charge(l)) {
            l->core->on_hosts(hosts, asked, now_s());
            l->wake.notify();
        }
        if (now_s() > next_types) {
            next_types = now_s() + c::types_refresh_s;
            auto r = co_await cloud_call(l, "GET", wire::path_types, "");
            if (r.ok() && in_charge(l)) {
                try {
                    auto t = wire::parse_types(r.body);
                    if (!t.empty())
                        l->core->on_types(std::move(t));
                } catch (const wire::bad_message &e) {
                    spdlog::warn("machine types: {}", e.what());
                }
            }
        }
        co_await net::sleep_s(c::hosts_poll_s);
    }
}

awaitable<void> controller::rent(std::shared_ptr<leadership> l, rental r) {
    if (!in_charge(l))
        co_return;
    auto a = co_await cloud_call(l, "POST", wire::path_hosts, wire::encode_rental(r));
    if (!in_charge(l))
        co_return;
    try {
        bool refused =
            a.how == net::outcome::answered &&
            (a.status == 400 || (a.status == 503 && a.body.find("capacity") != std::string::npos));
        if (a.ok())
            l->core->on_rented(r.request, wire::parse_rented(a.body), now_s());
        else if (refused)
            l->core->on_rent_refused(r.request, now_s());
        else
            l->core->on_rent_unsure(r.request, now_s());
    } catch (const wire::bad_message &e) {
        spdlog::warn("renting: {}", e.what());
        l->core->on_rent_unsure(r.request, now_s());
    }
    l->wake.notify();
}

awaitable<void> controller::remove(std::shared_ptr<leadership> l, std::vector<std::string> names) {
    auto a = co_await cloud_call(l, "POST", wire::path_hosts_delete, wire::encode_delete(names));
    if (l->over || !l->core)
        co_return;
    if (a.ok()) {
        l->core->on_deleted(names, now_s());
    } else {
        co_await net::sleep_s(1.0);
        if (!l->over && l->core)
            l->core->on_delete_failed(names);
    }
    l->wake.notify();
}

// Orders sent to the worker at once, without waiting for its report.
awaitable<void> controller::command(std::shared_ptr<leadership> l, std::string machine) {
    if (!l->commanding.insert(machine).second)
        co_return;
    struct leave {
        std::set<std::string> &s;
        const std::string &m;
        ~leave() { s.erase(m); }
    } leaving{l->commanding, machine};
    auto *m = l->core->find_machine(machine);
    if (!m || m->address.empty() || !in_charge(l))
        co_return;
    auto session = m->session;
    auto address = m->address;
    auto orders = l->core->orders_in_command(machine, now_s(), may_renew(now_s()));
    if (orders.empty())
        co_return;
    bool starts = false;
    for (auto &o : orders)
        starts = starts || o.kind == order_kind::start;
    ++l->commands;
    auto token = member_.token();
    auto client = l->workers[address];
    try {
        if (!client)
            client = l->workers[address] =
                std::make_shared<net::client>(io_, settings::parse_address(address, "address"), 1);
    } catch (const settings::settings_error &e) {
        spdlog::warn("{}: {}", machine, e.what());
        l->workers.erase(address);
        if (starts)
            l->core->command_resolved(machine);
        co_return;
    }
    // Guards against a start that is sent after its job was cancelled, or by a leader that stood
    // still while it connected.
    net::permission permitted = [this, l, starts, &orders] {
        return in_charge(l) && (!starts || (may_renew(now_s()) && l->core->starts_wanted(orders)));
    };
    auto a = co_await client->call("POST", wire::path_commands,
                                   wire::encode_commands(token, session, orders),
                                   c::worker_timeout_s, false, std::move(permitted));
    // Guards against commands to a large fleet that use up the sockets its reports need.
    if (l->workers.size() > sockets_.commands && client.use_count() == 2)
        l->workers.erase(address);
    if (l->over || !l->core)
        co_return;
    bool settled = a.how == net::outcome::not_sent;
    if (a.how == net::outcome::answered && (a.status == 200 || a.status == 409)) {
        try {
            auto report = wire::parse_report(a.body);
            settled = true;
            if (starts)
                l->core->command_resolved(machine);
            starts = false;
            if (report.machine == machine)
                l->core->on_report(report, now_s(), true);
        } catch (const wire::bad_message &e) {
            spdlog::warn("{}: {}", machine, e.what());
        }
    }
    if (starts) {
        if (settled)
            l->core->command_resolved(machine);
        else
            l->core->command_unresolved(machine, token, session);
    }
    l->wake.notify();
}

} // namespace spindlecroft::control
