#include "control/user_writes.hpp"
#include <memory>
#include <utility>

namespace spindlecroft::control {

using net::steady_now;

namespace {

// Shared by the committer and the user's coroutine, which may have ended when the outcome arrives.
struct pending_outcome {
    explicit pending_outcome(net::asio::io_context &io) : arrived(io) {}
    net::signal arrived;
    std::optional<store::write_outcome> outcome;
};

} // namespace

net::awaitable<std::optional<store::write_outcome>> user_writes::commit(store::write_unit change,
                                                                        seconds time_limit) {
    auto pending = std::make_shared<pending_outcome>(io_);
    change.on_outcome = [pending, on_durable = std::move(change.on_durable)](
                            store::write_outcome outcome, std::uint64_t revision) {
        if (on_durable && outcome == store::write_outcome::committed)
            on_durable(revision);
        pending->outcome = outcome;
        pending->arrived.notify();
    };
    auto limit = steady_now() + time_limit;
    change.deadline = limit; // the user gets a 503 response then, and retries
    committer_.submit(std::move(change));
    while (!pending->outcome && steady_now() < limit)
        co_await pending->arrived.wait_for(limit - steady_now());
    co_return pending->outcome;
}

} // namespace spindlecroft::control
