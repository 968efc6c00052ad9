// HTTP/1.1 over Beast: a server that bounds its connections, and clients that reuse theirs.
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

/// A received request.
struct request {
    std::string method;
    std::string target; // path and query
    std::string body;
};

/// The answer to a request.
struct response {
    int status = 200;
    std::string body;
    int retry_after_s = 0;         // 0: header left out
    bool is_cbor = false;          // the body is CBOR, not JSON
    bool close_connection = false; // close the connection after this answer
};

/// Answers one request. An exception from it is logged, and the request is answered with 503.
using handler = std::function<awaitable<response>(request)>;

/// Limits of a server.
struct server_limits {
    std::size_t connections = 1000; // most open connections; further ones are closed
    seconds idle_timeout{75};       // between two requests on a connection
    seconds request_timeout{5};     // to receive a request, and to send its answer
};

/// Listens on one address and serves each connection in a separate coroutine.
class server {
  public:
    /// Binds the address. Throws boost::system::system_error on failure. The name is for the log.
    server(asio::io_context &io, const settings::address &address, handler handle,
           server_limits limits, std::string name);
    void start();
    /// Accepts no more connections; open ones are closed after their current request.
    void stop();
    /// Number of open connections.
    [[nodiscard]] std::size_t open_connections() const { return *open_count_; }
    /// Whether so many connections are open that idle ones should be closed.
    [[nodiscard]] bool is_crowded() const { return is_crowded(*open_count_, limits_); }
    [[nodiscard]] static bool is_crowded(std::size_t open_connections, const server_limits &limits);

  private:
    awaitable<void> accept_loop();
    awaitable<void> serve(asio::ip::tcp::socket socket);
    awaitable<response> handle(request received);
    asio::io_context &io_;
    asio::ip::tcp::acceptor acceptor_;
    handler handler_;
    server_limits limits_;
    std::string name_;
    // Shared with the connections, whose coroutines outlive the server when the process ends.
    std::shared_ptr<std::size_t> open_count_ = std::make_shared<std::size_t>(0);
    bool stopping_ = false;
};

/// What is known about a request after the call.
enum class call_outcome {
    answered, // a response came
    not_sent, // the other side has certainly not received it
    unknown   // it may have been executed, or may still be
};

/// The result of a call. Status and body are set only if the request was answered.
struct reply {
    call_outcome outcome = call_outcome::not_sent;
    int status = 0;
    std::string body;
    [[nodiscard]] bool ok() const { return outcome == call_outcome::answered && status == 200; }
};

/// Returns whether a request may still be sent. Called right before its first byte is sent, once
/// the connection is established, so that a process that was paused in between does not act on an
/// expired lease. An empty function permits everything. Store it in a variable before the co_await
/// that takes it: GCC 12 destroys a capturing lambda that is created within the expression twice.
using permission = std::function<bool()>;

/// A client for one host. Any number of requests may be in progress; connections are kept open for
/// further requests.
class client {
  public:
    /// max_idle: most idle connections to keep open.
    client(asio::io_context &io, const settings::address &address, std::size_t max_idle);
    ~client();
    client(const client &) = delete;
    client &operator=(const client &) = delete;
    /// Sends a request and waits for its answer; the timeout includes connecting. A request that is
    /// no longer permitted counts as not sent. A GET is retried once if the idle connection that it
    /// was sent on turns out to be closed.
    awaitable<reply> call(std::string method, std::string target, std::string body, seconds timeout,
                          bool is_cbor = false, permission permitted = {});
    /// Time of the last call.
    [[nodiscard]] time_point last_used_at() const { return last_used_at_; }

  private:
    struct connection;
    using ticks = std::chrono::steady_clock::time_point;
    // Opens a connection. Returns nullptr on failure or if the deadline passes first.
    awaitable<std::unique_ptr<connection>> connect(ticks deadline);
    // Returns an idle connection, or nullptr if there is none.
    std::unique_ptr<connection> take_idle();
    void keep_idle(std::unique_ptr<connection> finished);
    asio::io_context &io_;
    settings::address address_;
    std::size_t max_idle_;
    time_point last_used_at_ = steady_now();
    std::list<std::unique_ptr<connection>> idle_;
};

} // namespace spindlecroft::net
