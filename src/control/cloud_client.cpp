#include "control/cloud_client.hpp"
#include "constants.hpp"

namespace spindlecroft::control {

namespace c = constants;

namespace {

constexpr int too_many_requests = 429;

} // namespace

cloud_client::cloud_client(net::asio::io_context &io, const settings::settings &settings)
    : client_(io, settings.cloud_address, c::max_idle_connections_per_host),
      budget_(c::cloud_rate_share * settings.cloud_rps, c::cloud_burst_duration) {}

net::awaitable<net::reply> cloud_client::call(std::shared_ptr<leadership> term, std::string method,
                                              std::string target, std::string body) {
    while (!budget_.try_take(1, store::request_priority::leadership, net::steady_now()))
        co_await net::sleep_for(c::rate_limit_poll_interval);
    // A leader that was suspended, or waited for the rate limit, may have lost its leadership
    // meanwhile; it would delete machines that the next leader uses.
    if (!term->may_act())
        co_return net::reply{};
    net::permission permitted = [term] { return term->may_act(); };
    auto reply = co_await client_.call(std::move(method), std::move(target), std::move(body),
                                       c::cloud_timeout, false, std::move(permitted));
    if (reply.outcome == net::call_outcome::answered && reply.status == too_many_requests)
        budget_.drain();
    co_return reply;
}

} // namespace spindlecroft::control
