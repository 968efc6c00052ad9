// Renting, returning and listing machines at the cloud, for a leader.
#include "constants.hpp"
#include "control/leadership.hpp"

namespace spindlecroft::control {

namespace c = constants;
using net::awaitable;
using net::steady_now;

awaitable<net::reply> controller::cloud_call(std::shared_ptr<leadership> l, std::string method,
                                             std::string target, std::string body) {
    while (!cloud_budget_.take(1, store::request_priority::leadership, steady_now()))
        co_await net::sleep_for(c::budget_poll);
    // Guards against a leader that stood still, or waited for the cloud's limit, and is none any
    // more: it would delete machines that the next one uses.
    if (!may_act(l))
        co_return net::reply{};
    net::permission permitted = [this, l] { return may_act(l); };
    auto r = co_await cloud_.call(std::move(method), std::move(target), std::move(body),
                                  c::cloud_timeout, false, std::move(permitted));
    if (r.how == net::outcome::answered && r.status == 429)
        cloud_budget_.drain();
    co_return r;
}

awaitable<void> controller::watch_cloud(std::shared_ptr<leadership> l) {
    auto next_types = steady_now() + c::types_refresh;
    while (may_act(l)) {
        auto asked = steady_now();
        std::vector<listed_machine> hosts;
        std::string after;
        bool whole = false;
        while (may_act(l)) {
            auto r = co_await cloud_call(
                l, "GET", wire::machine_list_target(after, c::listed_machine_page), "");
            if (!r.ok())
                break;
            try {
                auto page = wire::parse_machine_list(r.body);
                hosts.insert(hosts.end(), page.hosts.begin(), page.hosts.end());
                if (!page.more || page.hosts.empty()) {
                    whole = true;
                    break;
                }
                after = page.hosts.back().id;
            } catch (const wire::malformed_message &e) {
                spdlog::warn("machine list: {}", e.what());
                break;
            }
        }
        if (whole && may_act(l)) {
            l->core->on_machine_list(hosts, asked, steady_now());
            l->wake.notify();
        }
        if (steady_now() > next_types) {
            next_types = steady_now() + c::types_refresh;
            auto r = co_await cloud_call(l, "GET", wire::path_machine_types, "");
            if (r.ok() && may_act(l)) {
                try {
                    auto t = wire::parse_machine_types(r.body);
                    if (!t.empty())
                        l->core->on_types(std::move(t));
                } catch (const wire::malformed_message &e) {
                    spdlog::warn("machine types: {}", e.what());
                }
            }
        }
        co_await net::sleep_for(c::machine_list_poll);
    }
}

awaitable<void> controller::rent(std::shared_ptr<leadership> l, rental_request r) {
    if (!may_act(l))
        co_return;
    auto a = co_await cloud_call(l, "POST", wire::path_machines, wire::encode_rental_request(r));
    if (!may_act(l))
        co_return;
    try {
        bool refused =
            a.how == net::outcome::answered &&
            (a.status == 400 || (a.status == 503 && a.body.find("capacity") != std::string::npos));
        if (a.ok())
            l->core->on_rented(r.request, wire::parse_rented_machines(a.body), steady_now());
        else if (refused)
            l->core->on_rent_refused(r.request, steady_now());
        else
            l->core->on_rent_unsure(r.request, steady_now());
    } catch (const wire::malformed_message &e) {
        spdlog::warn("renting: {}", e.what());
        l->core->on_rent_unsure(r.request, steady_now());
    }
    l->wake.notify();
}

awaitable<void> controller::remove(std::shared_ptr<leadership> l, std::vector<std::string> names) {
    auto a =
        co_await cloud_call(l, "POST", wire::path_delete_machines, wire::encode_deletion(names));
    if (l->over || !l->core)
        co_return;
    if (a.ok()) {
        l->core->on_deleted(names, steady_now());
    } else {
        co_await net::sleep_for(c::delete_retry);
        if (!l->over && l->core)
            l->core->on_delete_failed(names);
    }
    l->wake.notify();
}

} // namespace spindlecroft::control
