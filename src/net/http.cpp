#include "net/http.hpp"
#include "constants.hpp"
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace spindlecroft::net {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

static tcp::endpoint endpoint_of(const settings::address &a) {
    return {asio::ip::make_address_v4(a.host), a.port};
}

server::server(asio::io_context &io, const settings::address &at, handler h, server_limits limits,
               std::string name)
    : io_(io), acceptor_(io), handler_(std::move(h)), limits_(limits), name_(std::move(name)) {
    auto ep = endpoint_of(at);
    acceptor_.open(ep.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(ep);
    acceptor_.listen();
}

bool server::crowded(std::size_t open, const server_limits &l) {
    return static_cast<double>(open) >
           constants::crowded_share * static_cast<double>(l.connections);
}

void server::start() {
    spawn(io_, accept_loop(), name_ + " listener");
}

void server::stop() {
    stopping_ = true;
    boost::system::error_code ec;
    acceptor_.close(ec);
}

awaitable<void> server::accept_loop() {
    while (!stopping_) {
        boost::system::error_code ec;
        auto socket =
            co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (stopping_)
            co_return;
        if (ec) {
            // Out of sockets: let some close rather than spin.
            co_await sleep_for(seconds{0.05});
            continue;
        }
        // Shed what is beyond the bound, so that workers and peers keep their sockets.
        if (*open_ >= limits_.connections) {
            socket.close(ec);
            continue;
        }
        socket.set_option(tcp::no_delay(true), ec);
        spawn(io_, serve(std::move(socket)), name_ + " connection");
    }
}

awaitable<void> server::serve(tcp::socket socket) {
    struct count {
        std::shared_ptr<std::size_t> n;
        explicit count(std::shared_ptr<std::size_t> c) : n(std::move(c)) { ++*n; }
        ~count() { --*n; }
    } counted(open_);
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    boost::system::error_code ec;
    bool first = true;
    while (!stopping_) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(constants::body_limit);
        parser.header_limit(16 * 1024);
        stream.expires_after(timer_ticks(first ? limits_.request_timeout : limits_.idle_timeout));
        first = false;
        co_await http::async_read_header(stream, buffer, parser,
                                         asio::redirect_error(asio::use_awaitable, ec));
        bool too_large = ec == http::error::body_limit;
        if (ec && !too_large)
            break;
        if (!too_large) {
            stream.expires_after(timer_ticks(limits_.request_timeout));
            if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
                http::response<http::empty_body> go(http::status::continue_, 11);
                co_await http::async_write(stream, go,
                                           asio::redirect_error(asio::use_awaitable, ec));
                if (ec)
                    break;
            }
            co_await http::async_read(stream, buffer, parser,
                                      asio::redirect_error(asio::use_awaitable, ec));
            too_large = ec == http::error::body_limit;
            if (ec && !too_large)
                break;
        }
        response answer;
        bool keep = !too_large && parser.get().keep_alive();
        if (too_large) {
            answer = {413, R"({"error":"body over 64 KiB"})", 0, false};
        } else {
            auto &m = parser.get();
            request r{std::string(m.method_string()), std::string(m.target()), std::move(m.body())};
            stream.expires_never();
            try {
                answer = co_await handler_(std::move(r));
            } catch (const std::exception &e) {
                spdlog::error("{}: a request failed: {}", name_, e.what());
                answer = {503, R"({"error":"internal"})", constants::retry_after_s, false};
            }
        }
        keep = keep && !answer.close;
        http::response<http::string_body> out(static_cast<http::status>(answer.status), 11);
        out.set(http::field::content_type, answer.cbor ? "application/cbor" : "application/json");
        if (answer.retry_after_s > 0)
            out.set(http::field::retry_after, std::to_string(answer.retry_after_s));
        out.keep_alive(keep);
        out.body() = std::move(answer.body);
        out.prepare_payload();
        stream.expires_after(timer_ticks(limits_.request_timeout));
        co_await http::async_write(stream, out, asio::redirect_error(asio::use_awaitable, ec));
        if (ec || !keep)
            break;
    }
    stream.socket().shutdown(tcp::socket::shutdown_both, ec);
}

struct client::connection {
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    explicit connection(asio::io_context &io) : stream(io) {}
};

client::client(asio::io_context &io, const settings::address &to, std::size_t idle)
    : io_(io), to_(to), idle_limit_(idle) {}

client::~client() = default;

awaitable<reply> client::call(std::string method, std::string target, std::string body,
                              seconds timeout, bool cbor, permission permitted) {
    reply r;
    used_at_ = steady_now();
    boost::system::error_code ec;
    std::unique_ptr<connection> c;
    if (!idle_.empty()) {
        c = std::move(idle_.back());
        idle_.pop_back();
    }
    auto deadline = std::chrono::steady_clock::now() + timer_ticks(timeout);
    bool reused = static_cast<bool>(c);
    for (;;) {
        if (!c) {
            c = std::make_unique<connection>(io_);
            c->stream.expires_at(deadline);
            co_await c->stream.async_connect(endpoint_of(to_),
                                             asio::redirect_error(asio::use_awaitable, ec));
            if (ec) {
                r.how = outcome::not_sent;
                co_return r;
            }
            c->stream.socket().set_option(tcp::no_delay(true), ec);
        }
        http::request<http::string_body> out(http::string_to_verb(method), target, 11);
        out.set(http::field::host, to_.host);
        if (!body.empty() || method == "POST") {
            out.set(http::field::content_type, cbor ? "application/cbor" : "application/json");
            out.body() = body;
        }
        out.prepare_payload();
        // Guards against a process that stood still while it connected and acts on old knowledge.
        if (permitted && !permitted()) {
            r.how = outcome::not_sent;
            keep_idle(std::move(c));
            co_return r;
        }
        c->stream.expires_at(deadline);
        co_await http::async_write(c->stream, out, asio::redirect_error(asio::use_awaitable, ec));
        http::response_parser<http::string_body> parser;
        parser.body_limit(constants::answer_limit);
        if (!ec)
            co_await http::async_read(c->stream, c->buffer, parser,
                                      asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            // A kept connection that the other side had closed: a GET is safe to send again.
            bool stale = reused && ec != beast::error::timeout && method == "GET" &&
                         std::chrono::steady_clock::now() < deadline;
            c.reset();
            if (stale) {
                reused = false;
                continue;
            }
            r.how = outcome::unknown;
            co_return r;
        }
        r.how = outcome::answered;
        r.status = static_cast<int>(parser.get().result_int());
        bool keep = parser.get().keep_alive();
        r.body = std::move(parser.get().body());
        if (keep)
            keep_idle(std::move(c));
        co_return r;
    }
}

void client::keep_idle(std::unique_ptr<connection> c) {
    c->stream.expires_never();
    if (idle_.size() < idle_limit_)
        idle_.push_back(std::move(c));
}

} // namespace spindlecroft::net
