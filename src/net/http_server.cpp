#include "constants.hpp"
#include "net/http.hpp"
#include "net/http_common.hpp"
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace spindlecroft::net {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

using request_parser = http::request_parser<http::string_body>;

// The result of receiving a request, or its header.
enum class receive_result { complete, too_large, failed };

// Counts a connection as open during the lifetime of this object.
class connection_counter {
  public:
    explicit connection_counter(std::shared_ptr<std::size_t> count) : count_(std::move(count)) {
        ++*count_;
    }
    ~connection_counter() { --*count_; }
    connection_counter(const connection_counter &) = delete;
    connection_counter &operator=(const connection_counter &) = delete;

  private:
    std::shared_ptr<std::size_t> count_;
};

receive_result receive_result_of(const boost::system::error_code &ec) {
    if (!ec)
        return receive_result::complete;
    return ec == http::error::body_limit ? receive_result::too_large : receive_result::failed;
}

awaitable<receive_result> receive_header(beast::tcp_stream &stream, beast::flat_buffer &buffer,
                                         request_parser &parser, seconds timeout) {
    boost::system::error_code ec;
    stream.expires_after(timer_ticks(timeout));
    co_await http::async_read_header(stream, buffer, parser,
                                     asio::redirect_error(asio::use_awaitable, ec));
    co_return receive_result_of(ec);
}

// Sends the interim answer to a client that waits for it before it sends the body.
awaitable<boost::system::error_code> send_continue(beast::tcp_stream &stream) {
    boost::system::error_code ec;
    http::response<http::empty_body> interim(http::status::continue_, http_version);
    co_await http::async_write(stream, interim, asio::redirect_error(asio::use_awaitable, ec));
    co_return ec;
}

awaitable<receive_result> receive_body(beast::tcp_stream &stream, beast::flat_buffer &buffer,
                                       request_parser &parser, seconds timeout) {
    boost::system::error_code ec;
    stream.expires_after(timer_ticks(timeout));
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        ec = co_await send_continue(stream);
        if (ec)
            co_return receive_result::failed;
    }
    co_await http::async_read(stream, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, ec));
    co_return receive_result_of(ec);
}

http::response<http::string_body> message_of(response &answer, bool keep) {
    http::response<http::string_body> message(static_cast<http::status>(answer.status),
                                              http_version);
    message.set(http::field::content_type, content_type(answer.is_cbor));
    if (answer.retry_after_s > 0)
        message.set(http::field::retry_after, std::to_string(answer.retry_after_s));
    message.keep_alive(keep);
    message.body() = std::move(answer.body);
    message.prepare_payload();
    return message;
}

} // namespace

server::server(asio::io_context &io, const settings::address &address, handler handle,
               server_limits limits, std::string name)
    : io_(io), acceptor_(io), handler_(std::move(handle)), limits_(limits), name_(std::move(name)) {
    auto endpoint = endpoint_of(address);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
}

bool server::is_crowded(std::size_t open_connections, const server_limits &limits) {
    return static_cast<double>(open_connections) >
           constants::crowded_connection_share * static_cast<double>(limits.connections);
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
            // No socket is free: waits for some to close instead of spinning.
            co_await sleep_for(constants::accept_retry_delay);
            continue;
        }
        // Closes connections beyond the limit, so that workers and peers keep their sockets.
        if (*open_count_ >= limits_.connections) {
            socket.close(ec);
            continue;
        }
        socket.set_option(tcp::no_delay(true), ec);
        spawn(io_, serve(std::move(socket)), name_ + " connection");
    }
}

awaitable<void> server::serve(tcp::socket socket) {
    connection_counter counted(open_count_);
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    boost::system::error_code ec;
    auto header_timeout = limits_.request_timeout;
    while (!stopping_) {
        request_parser parser;
        parser.body_limit(constants::max_request_body_bytes);
        parser.header_limit(constants::max_request_header_bytes);
        auto received = co_await receive_header(stream, buffer, parser, header_timeout);
        header_timeout = limits_.idle_timeout; // between requests
        if (received == receive_result::complete)
            received = co_await receive_body(stream, buffer, parser, limits_.request_timeout);
        if (received == receive_result::failed)
            break;
        response answer;
        bool keep = received == receive_result::complete && parser.get().keep_alive();
        if (received == receive_result::complete) {
            request to_handle{std::string(parser.get().method_string()),
                              std::string(parser.get().target()), std::move(parser.get().body())};
            stream.expires_never();
            answer = co_await handle(std::move(to_handle));
        } else {
            answer = {413, R"({"error":"body over 64 KiB"})", 0, false};
        }
        keep = keep && !answer.close_connection;
        auto message = message_of(answer, keep);
        stream.expires_after(timer_ticks(limits_.request_timeout));
        co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, ec));
        if (ec || !keep)
            break;
    }
    stream.socket().shutdown(tcp::socket::shutdown_both, ec);
}

awaitable<response> server::handle(request received) {
    response answer;
    try {
        answer = co_await handler_(std::move(received));
    } catch (const std::exception &error) {
        spdlog::error("{} server: a request handler threw an exception: {}", name_, error.what());
        answer = {503, R"({"error":"internal"})", constants::retry_after_s, false};
    }
    co_return answer;
}

} // namespace spindlecroft::net
