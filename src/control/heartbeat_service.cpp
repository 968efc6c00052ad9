#include "control/heartbeat_service.hpp"
#include "constants.hpp"
#include "control/error_responses.hpp"
#include "control/lease_renewal.hpp"

namespace spindlecroft::control {

namespace c = constants;
using net::awaitable;
using net::response;
using net::steady_now;

namespace {

// The answer within one line; commands that do not fit wait for the next heartbeat.
std::string encode_within_line(std::uint64_t token, std::vector<command> commands) {
    auto text = wire::encode_heartbeat_answer(token, commands);
    while (text.size() > c::max_heartbeat_answer_bytes - c::heartbeat_answer_header_margin &&
           commands.size() > 1) {
        commands.resize(commands.size() / 2);
        text = wire::encode_heartbeat_answer(token, commands);
    }
    return text;
}

} // namespace

response heartbeat_service::redirect() const {
    auto leader = member_.leader_hint();
    return {421, wire::encode_redirect(leader == settings_.node ? "" : leader), 0, false};
}

awaitable<response> heartbeat_service::on_heartbeat(std::string body) {
    member_.on_heartbeat();
    auto by = get_leadership_();
    if (!member_.is_leading() || !by)
        co_return redirect();
    // A new leader that is still reading the records has an answer within moments.
    auto limit = steady_now() + c::heartbeat_failover_timeout;
    while (!by->active_scheduler() && steady_now() < limit && by->may_act())
        co_await net::sleep_for(c::failover_poll_interval);
    if (!by->active_scheduler() || !by->may_act())
        co_return redirect();
    try {
        co_return respond(by, wire::parse_heartbeat(body));
    } catch (const wire::malformed_message &malformed) {
        spdlog::warn("a report was malformed: {}", malformed.what());
        co_return error_response(400, malformed.what());
    }
}

response heartbeat_service::respond(const std::shared_ptr<leadership> &by,
                                    const heartbeat &received) {
    auto &core = *by->active_scheduler();
    ++by->heartbeats_received;
    auto now = steady_now();
    auto age = core.on_heartbeat(received, now);
    by->work_available.notify();
    if (age == scheduler::heartbeat_age::obsolete)
        return unavailable_response("out of date");
    // Guards against ran_cancelled: where a cancel may have been confirmed that this controller
    // can't know of, only a machine that holds nothing is answered, and it gets nothing to start.
    bool may_renew = may_renew_leases(member_, settings_, now);
    if (!may_renew && !core.has_no_tasks(received))
        return redirect();
    auto commands = core.commands_for_response(received.machine, now, may_renew);
    auto text = encode_within_line(member_.token(), std::move(commands));
    // Checked right before the answer: without entitlement it must not renew a lease.
    bool still_may_renew = !may_renew || may_renew_leases(member_, settings_, steady_now());
    if (!by->may_act() || !still_may_renew)
        return redirect();
    core.on_response_sent(received.machine, age, steady_now());
    return {200, text, 0, false};
}

} // namespace spindlecroft::control
