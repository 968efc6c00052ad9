// Users' questions and cancels. Submissions have a file of their own.
#include "catalog/cancelled_record.hpp"
#include "constants.hpp"
#include "control/answers.hpp"
#include "control/leadership.hpp"
#include "store/keys.hpp"

namespace spindlecroft::control {

namespace c = constants;
using net::awaitable;
using net::response;
using net::steady_now;

// Guards against a user who stays with a node that can't read: the load balancer moves no open
// connection, so every question on it would fail while other nodes answer.
response controller::cut_off() const {
    auto r = unsure("the state service does not answer");
    r.close = state_.silence(steady_now()) > c::state_timeout;
    return r;
}

awaitable<std::optional<store::write_outcome>> controller::commit(store::write_unit u,
                                                                  seconds time_limit) {
    struct shared {
        explicit shared(net::asio::io_context &io) : signal(io) {}
        net::signal signal;
        std::optional<store::write_outcome> how;
    };
    auto s = std::make_shared<shared>(io_);
    u.on_outcome = [s, on_durable = std::move(u.on_durable)](store::write_outcome how,
                                                             std::uint64_t revision) {
        if (on_durable && how == store::write_outcome::committed)
            on_durable(revision);
        s->how = how;
        s->signal.notify();
    };
    auto limit = steady_now() + time_limit;
    u.give_up_at = limit; // its user is told 503 then, and asks again
    user_commits_.submit(std::move(u));
    while (!s->how && steady_now() < limit)
        co_await s->signal.wait_for(limit - steady_now());
    co_return s->how;
}

awaitable<std::optional<std::optional<job_status>>> controller::current(std::string id) {
    using result = std::optional<std::optional<job_status>>;
    // What has ended stays as it ended: no read is needed.
    if (auto e = cache_.ended(id)) {
        job_status s;
        s.id = id;
        s.state = e->state;
        s.done = e->done;
        co_return result(s);
    }
    if (!co_await cache_.catch_up(c::shared_read))
        co_return std::nullopt;
    if (!co_await cache_.resolve_predecessors(id))
        co_return std::nullopt;
    job_status s;
    s.id = id;
    if (auto *j = cache_.active(id)) {
        bool with_predecessor = cache_.dependencies().of(id) == catalog::standing::cancelled;
        if (j->record.cancelled || with_predecessor) {
            s.state = job_state::cancelled;
            co_return result(s);
        }
        std::optional<scheduler::progress> p;
        if (lead_ && lead_->core) {
            p = lead_->core->job_progress(id);
        } else {
            auto i = progress_.find(id);
            if (i != progress_.end())
                p = i->second;
            if (!progress_busy_ &&
                (!progress_at_ || steady_now() - *progress_at_ > c::progress_gap))
                net::spawn(io_, fetch_progress(), "progress");
        }
        if (p) {
            s.done = p->done;
            s.running = p->running;
        }
        s.state = s.running > 0 ? job_state::running : job_state::pending;
        co_return result(s);
    }
    auto e = cache_.ended(id);
    if (!e && cache_.known_absent(id))
        co_return result(std::in_place, std::nullopt);
    if (!e) {
        auto read = co_await cache_.read_ended(id);
        if (read.outcome == catalog::lookup::unavailable)
            co_return std::nullopt;
        if (read.outcome == catalog::lookup::absent) {
            // Neither active at the shared read nor ended after it: never accepted then. Unless
            // the watch has it by now.
            if (cache_.active(id))
                co_return std::nullopt;
            co_return result(std::in_place, std::nullopt);
        }
        e = read.record;
    }
    s.state = e->state;
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
    auto limit = steady_now() + c::user_request;
    while (steady_now() < limit - c::cancel_round) {
        auto s = co_await current(id);
        if (!s)
            co_return cut_off();
        if (!*s)
            co_return error(404, "no such job");
        if ((*s)->state == job_state::done || (*s)->state == job_state::cancelled)
            co_return response{200, wire::encode_accepted(id, (*s)->state), 0, false};
        auto *j = cache_.active(id);
        if (!j)
            continue;
        auto record =
            catalog::cancelled_record(j->record, net::wall_now(), settings_.value_bytes());
        store::write_unit u;
        u.priority = store::request_priority::cancel;
        u.conditions = {{store::keys::active_job(id), j->revision}};
        u.ops = {{store::keys::active_job(id), wire::encode_job_record(record), 0}};
        // Durable first, then known to whoever may renew leases, then told: also where the answer
        // from the key-value store comes after the user has gone.
        u.on_durable = [this, id, at = record.cancelled_at](std::uint64_t revision) {
            cancel_notice n{id, revision, at};
            member_.note_cancel(n);
            apply_cancel(n);
        };
        auto how = co_await commit(std::move(u), std::max(c::commit_least, limit - steady_now()));
        if (how == store::write_outcome::committed) {
            co_return response{200, wire::encode_accepted(id, job_state::cancelled), 0, false};
        }
        if (how != store::write_outcome::conflict)
            break;
    }
    co_return cut_off();
}

} // namespace spindlecroft::control
