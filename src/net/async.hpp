// Small helpers for coroutines on one thread.
#pragma once
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

// Seconds on the steady clock; the core logic takes time in this form only.
inline double now_s() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline std::chrono::steady_clock::duration seconds(double s) {
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        std::chrono::duration<double>(s));
}

// Starts a duty. What escapes it is logged: one broken exchange must not end the process.
inline void spawn(asio::io_context &io, awaitable<void> duty, std::string name) {
    asio::co_spawn(io, std::move(duty), [name = std::move(name)](const std::exception_ptr &e) {
        if (!e)
            return;
        try {
            std::rethrow_exception(e);
        } catch (const std::exception &x) {
            spdlog::error("{} ended: {}", name, x.what());
        }
    });
}

inline awaitable<void> sleep_s(double s) {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(seconds(s));
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

// Wakes every coroutine that waits on it.
class signal {
  public:
    explicit signal(asio::io_context &io) : timer_(io) {
        timer_.expires_at(std::chrono::steady_clock::time_point::max());
    }
    void notify() { timer_.cancel(); }
    awaitable<void> wait() {
        boost::system::error_code ec;
        co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    // Waits for a notification, at most for s seconds. The flag is shared, since the limit's
    // handler may still be queued when the waiting coroutine has gone on.
    awaitable<void> wait_for(double s) {
        auto limit = std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor);
        auto over = std::make_shared<bool>(false);
        limit->expires_after(seconds(s));
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
