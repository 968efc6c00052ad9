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

// Whether the cloud refused the request: no machine was rented, and none will be for it.
bool is_refused(const net::reply &reply) {
    if (reply.outcome != net::call_outcome::answered)
        return false;
    bool lacks_capacity =
        reply.status == unavailable && reply.body.find("capacity") != std::string::npos;
    return reply.status == malformed_request || lacks_capacity;
}

void apply_rental_outcome(scheduler &scheduler, const rental_request &request,
                          const net::reply &reply) {
    try {
        if (reply.ok())
            scheduler.on_rented(request.id, wire::parse_rented_machines(reply.body), steady_now());
        else if (is_refused(reply))
            scheduler.on_rent_refused(request.id, steady_now());
        else
            scheduler.on_rent_outcome_unknown(request.id, steady_now());
    } catch (const wire::malformed_message &error) {
        spdlog::warn("malformed response to a rental request: {}", error.what());
        scheduler.on_rent_outcome_unknown(request.id, steady_now());
    }
}

} // namespace

awaitable<void> cloud_operations::run_polling(std::shared_ptr<leadership> term) {
    auto next_types_refresh = steady_now() + c::machine_types_refresh_interval;
    while (term->may_act()) {
        auto requested_at = steady_now();
        auto machines = co_await list_machines(term);
        if (machines && term->may_act()) {
            term->active_scheduler()->on_machine_list(*machines, requested_at, steady_now());
            term->work_available.notify();
        }
        if (steady_now() > next_types_refresh) {
            next_types_refresh = steady_now() + c::machine_types_refresh_interval;
            co_await refresh_types(term);
        }
        co_await net::sleep_for(c::machine_list_poll_interval);
    }
}

awaitable<std::optional<std::vector<listed_machine>>>
cloud_operations::list_machines(std::shared_ptr<leadership> term) {
    std::vector<listed_machine> machines;
    std::string after;
    while (term->may_act()) {
        auto target = wire::machine_list_target(after, c::machine_list_page_size);
        auto reply = co_await cloud_.call(term, "GET", target, "");
        if (!reply.ok())
            co_return std::nullopt;
        try {
            auto page = wire::parse_machine_list(reply.body);
            machines.insert(machines.end(), page.machines.begin(), page.machines.end());
            if (!page.has_more || page.machines.empty())
                co_return machines;
            after = page.machines.back().id;
        } catch (const wire::malformed_message &error) {
            spdlog::warn("malformed machine list from the cloud: {}", error.what());
            co_return std::nullopt;
        }
    }
    co_return std::nullopt;
}

awaitable<void> cloud_operations::refresh_types(std::shared_ptr<leadership> term) {
    auto reply = co_await cloud_.call(term, "GET", wire::path_machine_types, "");
    if (!reply.ok() || !term->may_act())
        co_return;
    try {
        auto types = wire::parse_machine_types(reply.body);
        if (!types.empty())
            term->active_scheduler()->set_machine_types(std::move(types));
    } catch (const wire::malformed_message &error) {
        spdlog::warn("malformed machine types from the cloud: {}", error.what());
    }
}

awaitable<void> cloud_operations::rent_machines(std::shared_ptr<leadership> term,
                                                rental_request request) {
    if (!term->may_act())
        co_return;
    auto reply = co_await cloud_.call(term, "POST", wire::path_machines,
                                      wire::encode_rental_request(request));
    if (!term->may_act())
        co_return;
    apply_rental_outcome(*term->active_scheduler(), request, reply);
    term->work_available.notify();
}

awaitable<void> cloud_operations::delete_machines(std::shared_ptr<leadership> term,
                                                  std::vector<std::string> names) {
    auto reply = co_await cloud_.call(term, "POST", wire::path_delete_machines,
                                      wire::encode_deletion(names));
    if (!reply.ok())
        co_await net::sleep_for(c::deletion_retry_delay);
    auto *scheduler = term->scheduler_unless_ended();
    if (!scheduler)
        co_return;
    if (reply.ok())
        scheduler->on_deleted(names, steady_now());
    else
        scheduler->on_delete_failed(names);
    term->work_available.notify();
}

} // namespace spindlecroft::control
