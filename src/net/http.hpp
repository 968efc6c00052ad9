// HTTP/1.1 over Beast: a server with bounds, and clients that reuse their connections.
#pragma once
#include "common/time.hpp"
#include "net/async.hpp"
#include "settings/settings.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace spindlecroft::net {

struct request {
    std::string method, target, body;
};

struct response {
    int status = 200;
    std::string body;
    int retry_after_s = 0; // 0: header left out
    bool cbor = false;
    bool close = false; // the connection ends with this answer
};

using handler = std::function<awaitable<response>(request)>;

struct server_limits {
    std::size_t connections = 1000;
    seconds idle_timeout{75};
    seconds request_timeout{5};
};

class server {
  public:
    server(asio::io_context &io, const settings::address &at, handler h, server_limits limits,
           std::string name);
    void start();
    void stop();
    std::size_t open() const { return *open_; }
    // So many connections are open that none should be kept without need.
    bool crowded() const { return crowded(*open_, limits_); }
    static bool crowded(std::size_t open, const server_limits &l);

  private:
    awaitable<void> accept_loop();
    awaitable<void> serve(asio::ip::tcp::socket socket);
    asio::io_context &io_;
    asio::ip::tcp::acceptor acceptor_;
    handler handler_;
    server_limits limits_;
    std::string name_;
    // Shared with the connections: at the end of the program their coroutines outlive the server.
    std::shared_ptr<std::size_t> open_ = std::make_shared<std::size_t>(0);
    bool stopping_ = false;
};

enum class outcome {
    answered, // a response came
    not_sent, // surely never received by the other side
    unknown   // may have been executed, or may yet be
};

struct reply {
    outcome how = outcome::not_sent;
    int status = 0;
    std::string body;
    bool ok() const { return how == outcome::answered && status == 200; }
};

// Whether a request may still be sent. Asked right before its first byte goes out. Name the object
// before the co_await that takes it: GCC 12 destroys a lambda with captures twice when it is made
// within the expression.
using permission = std::function<bool()>;

// A client for one host. Any number of requests may be open; finished connections are kept.
class client {
  public:
    client(asio::io_context &io, const settings::address &to, std::size_t idle);
    ~client();
    // A request that is not permitted any more counts as not sent.
    awaitable<reply> call(std::string method, std::string target, std::string body, seconds timeout,
                          bool cbor = false, permission permitted = {});
    time_point used_at() const { return used_at_; } // when it was last called

  private:
    struct connection;
    void keep_idle(std::unique_ptr<connection> c);
    asio::io_context &io_;
    settings::address to_;
    std::size_t idle_limit_;
    time_point used_at_ = steady_now();
    std::list<std::unique_ptr<connection>> idle_;
};

} // namespace spindlecroft::net
