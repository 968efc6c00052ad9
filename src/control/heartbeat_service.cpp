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

// Encodes a response that fits into one line; commands that do not fit wait for the next heartbeat.
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
    auto term = get_leadership_();
    if (!member_.is_leading() || !term)
        co_return redirect();
    // A new leader that is still reading the records can usually respond within moments.
    auto limit = steady_now() + c::heartbeat_failover_timeout;
    while (!term->active_scheduler() && steady_now() < limit && term->may_act())
        co_await net::sleep_for(c::failover_poll_interval);
    if (!term->active_scheduler() || !term->may_act())
        co_return redirect();
    try {
        co_return respond(term, wire::parse_heartbeat(body));
    } catch (const wire::malformed_message &malformed) {
        spdlog::warn("rejected malformed heartbeat: {}", malformed.what());
        co_return error_response(400, malformed.what());
    }
}

response heartbeat_service::respond(const std::shared_ptr<leadership> &term,
                                    const heartbeat &received) {
    auto &scheduler = *term->active_scheduler();
    ++term->heartbeats_received;
    auto now = steady_now();
    auto age = scheduler.on_heartbeat(received, now);
    term->work_available.notify();
    if (age == scheduler::heartbeat_age::obsolete)
        return unavailable_response("out of date");
    // A task of a cancelled job must not start or keep running. While a cancellation may have been
    // confirmed that this controller does not know of, only a machine without tasks gets a
    // response, and no start commands.
    bool may_renew_now = may_renew_leases(member_, settings_, now);
    if (!may_renew_now && !scheduler.has_no_tasks(received))
        return redirect();
    auto commands = scheduler.commands_for_response(received.machine, now, may_renew_now);
    auto text = encode_within_line(member_.token(), std::move(commands));
    // Checked again right before the response: it must not renew a lease without permission.
    bool may_still_renew = !may_renew_now || may_renew_leases(member_, settings_, steady_now());
    if (!term->may_act() || !may_still_renew)
        return redirect();
    scheduler.on_response_sent(received.machine, age, steady_now());
    return {200, text, 0, false};
}

} // namespace spindlecroft::control
