// Reports of workers with their answers, and direct commands to workers.
#include "constants.hpp"
#include "control/answers.hpp"
#include "control/leadership.hpp"

namespace spindlecroft::control {

namespace c = constants;
using net::awaitable;
using net::now_s;
using net::response;

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
