// Small helpers for coroutines on one thread.
#pragma once
#include "common/time.hpp"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <exception>
#include <memory>
#include <spdlog/spdlog.h>
#include <string>

namespace spindlecroft::net {

namespace asio = boost::asio;
template <class T>
using awaitable = asio::awaitable<T>;

/// The steady clock. Only routines that do input or output read it; decisions are given the time.
[[nodiscard]] inline time_point steady_now() {
    return std::chrono::steady_clock::now();
}

/// The time of day; for records and messages, never for leases.
[[nodiscard]] inline wall_time wall_now() {
    return std::chrono::system_clock::now();
}

/// A length in the unit of Asio's timers.
[[nodiscard]] inline std::chrono::steady_clock::duration timer_ticks(seconds length) {
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(length);
}

/// Starts a coroutine of its own. What escapes it is logged under its name: one broken exchange
/// must not end the process.
inline void spawn(asio::io_context &io, awaitable<void> routine, std::string name) {
    asio::co_spawn(io, std::move(routine),
                   [name = std::move(name)](const std::exception_ptr &failure) {
                       if (!failure)
                           return;
                       try {
                           std::rethrow_exception(failure);
                       } catch (const std::exception &error) {
                           spdlog::error("{} ended: {}", name, error.what());
                       }
                   });
}

/// Suspends the calling coroutine.
inline awaitable<void> sleep_for(seconds length) {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(timer_ticks(length));
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

/// Wakes every coroutine that waits on it.
class signal {
  public:
    explicit signal(asio::io_context &io) : timer_(io) {
        timer_.expires_at(std::chrono::steady_clock::time_point::max());
    }
    /// Wakes those that wait now; those that wait later are not woken by it.
    void notify() { timer_.cancel(); }
    /// Waits for the next notification.
    awaitable<void> wait() {
        boost::system::error_code ec;
        co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    /// Waits for a notification, but at most for the given time. The flag is shared, since the
    /// limit's handler may still be queued when the waiting coroutine has gone on.
    awaitable<void> wait_for(seconds most) {
        auto limit = std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor);
        auto over = std::make_shared<bool>(false);
        limit->expires_after(timer_ticks(most));
        limit->async_wait([this, over](boost::system::error_code ec) {
            if (!ec && !*over)
                timer_.cancel();
        });
        boost::system::error_code ec;
        co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        *over = true;
        limit->cancel();
    }

  private:
    asio::steady_timer timer_;
};

} // namespace spindlecroft::net
