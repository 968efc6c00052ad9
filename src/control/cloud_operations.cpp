#include "control/cloud_operations.hpp"
#include "constants.hpp"
#include "wire/codec.hpp"

namespace spindlecroft::control {

namespace c = constants;
using net::awaitable;
using net::steady_now;

namespace {

constexpr int malformed_request = 400;
constexpr int unavailable = 503;

// No machine was rented, and none will be for this request.
bool refused(const net::reply &reply) {
    if (reply.outcome != net::call_outcome::answered)
        return false;
    bool no_capacity =
        reply.status == unavailable && reply.body.find("capacity") != std::string::npos;
    return reply.status == malformed_request || no_capacity;
}

void tell_outcome(scheduler &core, const rental_request &wanted, const net::reply &reply) {
    try {
        if (reply.ok())
            core.on_rented(wanted.id, wire::parse_rented_machines(reply.body), steady_now());
        else if (refused(reply))
            core.on_rent_refused(wanted.id, steady_now());
        else
            core.on_rent_outcome_unknown(wanted.id, steady_now());
    } catch (const wire::malformed_message &error) {
        spdlog::warn("renting: {}", error.what());
        core.on_rent_outcome_unknown(wanted.id, steady_now());
    }
}

} // namespace

awaitable<void> cloud_operations::run_polling(std::shared_ptr<leadership> by) {
    auto next_types = steady_now() + c::machine_types_refresh_interval;
    while (by->may_act()) {
        auto asked = steady_now();
        auto machines = co_await list_machines(by);
        if (machines && by->may_act()) {
            by->active_scheduler()->on_machine_list(*machines, asked, steady_now());
            by->work_available.notify();
        }
        if (steady_now() > next_types) {
            next_types = steady_now() + c::machine_types_refresh_interval;
            co_await refresh_types(by);
        }
        co_await net::sleep_for(c::machine_list_poll_interval);
    }
}

awaitable<std::optional<std::vector<listed_machine>>>
cloud_operations::list_machines(std::shared_ptr<leadership> by) {
    std::vector<listed_machine> machines;
    std::string after;
    while (by->may_act()) {
        auto target = wire::machine_list_target(after, c::machine_list_page_size);
        auto reply = co_await cloud_.call(by, "GET", target, "");
        if (!reply.ok())
            co_return std::nullopt;
        try {
            auto page = wire::parse_machine_list(reply.body);
            machines.insert(machines.end(), page.machines.begin(), page.machines.end());
            if (!page.has_more || page.machines.empty())
                co_return machines;
            after = page.machines.back().id;
        } catch (const wire::malformed_message &error) {
            spdlog::warn("machine list: {}", error.what());
            co_return std::nullopt;
        }
    }
    co_return std::nullopt;
}

awaitable<void> cloud_operations::refresh_types(std::shared_ptr<leadership> by) {
    auto reply = co_await cloud_.call(by, "GET", wire::path_machine_types, "");
    if (!reply.ok() || !by->may_act())
        co_return;
    try {
        auto types = wire::parse_machine_types(reply.body);
        if (!types.empty())
            by->active_scheduler()->set_machine_types(std::move(types));
    } catch (const wire::malformed_message &error) {
        spdlog::warn("machine types: {}", error.what());
    }
}

awaitable<void> cloud_operations::rent_machines(std::shared_ptr<leadership> by,
                                                rental_request wanted) {
    if (!by->may_act())
        co_return;
    auto reply =
        co_await cloud_.call(by, "POST", wire::path_machines, wire::encode_rental_request(wanted));
    if (!by->may_act())
        co_return;
    tell_outcome(*by->active_scheduler(), wanted, reply);
    by->work_available.notify();
}

awaitable<void> cloud_operations::delete_machines(std::shared_ptr<leadership> by,
                                                  std::vector<std::string> names) {
    auto reply =
        co_await cloud_.call(by, "POST", wire::path_delete_machines, wire::encode_deletion(names));
    if (!reply.ok())
        co_await net::sleep_for(c::deletion_retry_delay);
    auto *core = by->scheduler_unless_ended();
    if (!core)
        co_return;
    if (reply.ok())
        core->on_deleted(names, steady_now());
    else
        core->on_delete_failed(names);
    by->work_available.notify();
}

} // namespace spindlecroft::control
