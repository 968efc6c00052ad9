// Reports of workers with their answers, and direct commands to workers.
#include "constants.hpp"
#include "control/answers.hpp"
#include "control/leadership.hpp"

namespace spindlecroft::control {

namespace c = constants;
using net::awaitable;
using net::response;
using net::steady_now;

bool controller::may_renew(time_point now) const {
    return membership::may_renew(now, member_.cancels_known_until(), settings_.lease_duration,
                                 settings_.cancel_deadline);
}

// Acted on without the key-value store; what the records will say of the same changes nothing more.
void controller::apply_cancel(const cancel_notice &n) {
    if (!lead_ || n.revision <= cache_.revision())
        return;
    lead_->cancels[n.job] = n;
    if (lead_->core) {
        lead_->core->on_cancel(n, steady_now());
        lead_->wake.notify();
    }
}

awaitable<response> controller::on_checkin(std::string body) {
    auto elsewhere = [&] {
        auto hint = member_.leader_hint();
        return response{421, wire::encode_redirect(hint == settings_.node ? "" : hint), 0, false};
    };
    member_.note_heartbeat();
    if (!member_.leading() || !lead_)
        co_return elsewhere();
    auto l = lead_;
    // A new leader that is still reading the records has an answer within moments.
    for (auto limit = steady_now() + c::failover_wait;
         !l->core && steady_now() < limit && may_act(l);)
        co_await net::sleep_for(c::failover_poll);
    if (!l->core || !may_act(l))
        co_return elsewhere();
    heartbeat report;
    try {
        report = wire::parse_heartbeat(body);
    } catch (const wire::malformed_message &e) {
        spdlog::warn("a report was malformed: {}", e.what());
        co_return error(400, e.what());
    }
    ++l->heartbeats_received;
    auto now = steady_now();
    auto age = l->core->on_heartbeat(report, now);
    l->wake.notify();
    if (age == scheduler::heartbeat_age::dead)
        co_return unsure("out of date");
    // Guards against ran_cancelled: where a cancel may have been confirmed that this node can't
    // know of, only a machine that holds nothing is answered, and it gets nothing to start.
    bool blind = !may_renew(now);
    if (blind && !l->core->holds_nothing(report))
        co_return elsewhere();
    auto commands = l->core->commands_for_answer(report.machine, now, !blind);
    auto text = wire::encode_heartbeat_answer(member_.token(), commands);
    // Orders that do not fit a line wait for the next heartbeat.
    while (text.size() > c::line_limit - 1024 && commands.size() > 1) {
        commands.resize(commands.size() / 2);
        text = wire::encode_heartbeat_answer(member_.token(), commands);
    }
    // Checked right before the answer: without entitlement it must not renew a lease.
    if (!may_act(l) || (!blind && !may_renew(steady_now())))
        co_return elsewhere();
    l->core->answered(report.machine, age, steady_now());
    co_return response{200, text, 0, false};
}

// Orders sent to the worker at once, without waiting for its heartbeat.
awaitable<void> controller::send_commands(std::shared_ptr<leadership> l, std::string machine) {
    if (!l->commanding.insert(machine).second)
        co_return;
    struct leave {
        std::set<std::string> &s;
        const std::string &m;
        ~leave() { s.erase(m); }
    } leaving{l->commanding, machine};
    auto *m = l->core->find_machine(machine);
    if (!m || m->address.empty() || !may_act(l))
        co_return;
    auto incarnation = m->incarnation;
    auto address = m->address;
    auto commands = l->core->direct_commands_for(machine, steady_now(), may_renew(steady_now()));
    if (commands.empty())
        co_return;
    bool starts = false;
    for (auto &o : commands)
        starts = starts || o.kind == command_kind::start;
    ++l->commands_sent;
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
    net::permission permitted = [this, l, starts, &commands] {
        return may_act(l) &&
               (!starts || (may_renew(steady_now()) && l->core->starts_wanted(commands)));
    };
    auto a = co_await client->call("POST", wire::path_commands,
                                   wire::encode_direct_commands(token, incarnation, commands),
                                   c::worker_timeout, false, std::move(permitted));
    // Guards against commands to a large fleet that use up the sockets its heartbeats need.
    if (l->workers.size() > sockets_.commands && client.use_count() == 2)
        l->workers.erase(address);
    if (l->over || !l->core)
        co_return;
    bool settled = a.how == net::outcome::not_sent;
    if (a.how == net::outcome::answered && (a.status == 200 || a.status == 409)) {
        try {
            auto report = wire::parse_heartbeat(a.body);
            settled = true;
            if (starts)
                l->core->command_resolved(machine);
            starts = false;
            if (report.machine == machine)
                l->core->on_heartbeat(report, steady_now(), true);
        } catch (const wire::malformed_message &e) {
            spdlog::warn("{}: {}", machine, e.what());
        }
    }
    if (starts) {
        if (settled)
            l->core->command_resolved(machine);
        else
            l->core->command_unresolved(machine, token, incarnation);
    }
    l->wake.notify();
}

} // namespace spindlecroft::control
