// Helpers for Asio coroutines that run on one thread.
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

/// Returns the steady clock's time. Only code that does I/O reads it; decision logic gets the time
/// as an argument.
[[nodiscard]] inline time_point steady_now() {
    return std::chrono::steady_clock::now();
}

/// Returns the wall clock's time; for records and messages, never for leases.
[[nodiscard]] inline wall_time wall_now() {
    return std::chrono::system_clock::now();
}

/// Converts a duration to the unit of Asio's timers.
[[nodiscard]] inline std::chrono::steady_clock::duration timer_ticks(seconds length) {
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(length);
}

/// Starts a detached coroutine. An exception that leaves it is logged with the coroutine's name and
/// does not end the process.
inline void spawn(asio::io_context &io, awaitable<void> routine, std::string name) {
    asio::co_spawn(
        io, std::move(routine), [name = std::move(name)](const std::exception_ptr &failure) {
            if (!failure)
                return;
            try {
                std::rethrow_exception(failure);
            } catch (const std::exception &error) {
                spdlog::error("coroutine '{}' ended with an exception: {}", name, error.what());
            }
        });
}

/// Suspends the calling coroutine for the given time.
inline awaitable<void> sleep_for(seconds length) {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(timer_ticks(length));
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

/// A condition on which any number of coroutines wait.
class signal {
  public:
    explicit signal(asio::io_context &io) : timer_(io) {
        timer_.expires_at(std::chrono::steady_clock::time_point::max());
    }
    /// Wakes all coroutines that are waiting; has no effect on later waits.
    void notify() { timer_.cancel(); }
    /// Waits for the next notification.
    awaitable<void> wait() {
        boost::system::error_code ec;
        co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    /// Waits for a notification, but at most for the given time. The flag is shared, because the
    /// timeout's handler may still be queued when the waiting coroutine has resumed.
    awaitable<void> wait_for(seconds max_wait) {
        auto timeout = std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor);
        auto finished = std::make_shared<bool>(false);
        timeout->expires_after(timer_ticks(max_wait));
        timeout->async_wait([this, finished](boost::system::error_code ec) {
            if (!ec && !*finished)
                timer_.cancel();
        });
        boost::system::error_code ec;
        co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        *finished = true;
        timeout->cancel();
    }

  private:
    asio::steady_timer timer_;
};

} // namespace spindlecroft::net
