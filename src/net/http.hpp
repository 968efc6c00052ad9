// HTTP/1.1 over Beast: a server with bounds, and clients that reuse their connections.
#pragma once
#include "common/time.hpp"
#include "net/async.hpp"
#include "settings/settings.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace spindlecroft::net {

/// A request as the server hands it to its handler.
struct request {
    std::string method;
    std::string target; // path and query
    std::string body;
};

/// A handler's answer.
struct response {
    int status = 200;
    std::string body;
    int retry_after_s = 0;         // 0: header left out
    bool is_cbor = false;          // the body is CBOR, not JSON
    bool close_connection = false; // the connection ends with this answer
};

/// Answers one request. What it throws is logged, and answered with 503.
using handler = std::function<awaitable<response>(request)>;

/// Bounds of a server.
struct server_limits {
    std::size_t connections = 1000; // open at once; more are closed as they come
    seconds idle_timeout{75};       // between two requests on a connection
    seconds request_timeout{5};     // for a request to arrive, and for its answer to be sent
};

/// Listens on one address and serves each connection in a coroutine of its own.
class server {
  public:
    /// Binds the address; throws boost::system::system_error if it can't. The name is for the log.
    server(asio::io_context &io, const settings::address &at, handler handle, server_limits limits,
           std::string name);
    void start();
    /// Takes no more connections; open ones end with their present request.
    void stop();
    /// Connections that are open.
    [[nodiscard]] std::size_t open_connections() const { return *open_; }
    /// So many connections are open that none should be kept without need.
    [[nodiscard]] bool is_crowded() const { return is_crowded(*open_, limits_); }
    [[nodiscard]] static bool is_crowded(std::size_t open, const server_limits &limits);

  private:
    awaitable<void> accept_loop();
    awaitable<void> serve(asio::ip::tcp::socket socket);
    awaitable<response> handle(request question);
    asio::io_context &io_;
    asio::ip::tcp::acceptor acceptor_;
    handler handler_;
    server_limits limits_;
    std::string name_;
    // Shared with the connections: at the end of the program their coroutines outlive the server.
    std::shared_ptr<std::size_t> open_ = std::make_shared<std::size_t>(0);
    bool stopping_ = false;
};

/// What is known of a request after the call.
enum class call_outcome {
    answered, // a response came
    not_sent, // surely never received by the other side
    unknown   // may have been executed, or may yet be
};

/// The result of a call. Status and body are set only if it was answered.
struct reply {
    call_outcome outcome = call_outcome::not_sent;
    int status = 0;
    std::string body;
    [[nodiscard]] bool ok() const { return outcome == call_outcome::answered && status == 200; }
};

/// Whether a request may still be sent. Asked right before its first byte goes out, after the
/// connection is there, so that a process that stood still in between does not act on a lease that
/// has ended. An empty one permits everything. Name the object before the co_await that takes it:
/// GCC 12 destroys a lambda with captures twice when it is made within the expression.
using permission = std::function<bool()>;

/// A client for one host. Any number of requests may be open; finished connections are kept.
class client {
  public:
    /// idle: most connections kept open without a request.
    client(asio::io_context &io, const settings::address &to, std::size_t idle);
    ~client();
    client(const client &) = delete;
    client &operator=(const client &) = delete;
    /// Sends a request and waits for its answer; the timeout covers both and the connecting. A
    /// request that is not permitted any more counts as not sent. A GET is sent once more if a kept
    /// connection turns out to be closed.
    awaitable<reply> call(std::string method, std::string target, std::string body, seconds timeout,
                          bool cbor = false, permission permitted = {});
    /// When it was last called.
    [[nodiscard]] time_point last_used_at() const { return used_at_; }

  private:
    struct connection;
    using ticks = std::chrono::steady_clock::time_point;
    // A new connection; nullptr if it failed or the deadline came first.
    awaitable<std::unique_ptr<connection>> connect(ticks deadline);
    // A kept connection, or nullptr.
    std::unique_ptr<connection> take_idle();
    void keep_idle(std::unique_ptr<connection> open);
    asio::io_context &io_;
    settings::address to_;
    std::size_t idle_limit_;
    time_point used_at_ = steady_now();
    std::list<std::unique_ptr<connection>> idle_;
};

} // namespace spindlecroft::net
