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

using request_message = http::request<http::string_body>;
using response_parser = http::response_parser<http::string_body>;

request_message message_of(const std::string &host, const std::string &method,
                           const std::string &target, const std::string &body, bool is_cbor) {
    request_message message(http::string_to_verb(method), target, http_version);
    message.set(http::field::host, host);
    if (!body.empty() || method == "POST") {
        message.set(http::field::content_type, content_type(is_cbor));
        message.body() = body;
    }
    message.prepare_payload();
    return message;
}

reply reply_without_answer(call_outcome outcome) {
    reply result;
    result.outcome = outcome;
    return result;
}

reply reply_of(response_parser &parser) {
    reply result;
    result.outcome = call_outcome::answered;
    result.status = static_cast<int>(parser.get().result_int());
    result.body = std::move(parser.get().body());
    return result;
}

} // namespace

struct client::connection {
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    explicit connection(asio::io_context &io) : stream(io) {}

    // Sends a request and reads its answer.
    awaitable<boost::system::error_code> exchange(const request_message &message,
                                                  response_parser &parser, ticks deadline) {
        boost::system::error_code ec;
        stream.expires_at(deadline);
        co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, ec));
        if (!ec)
            co_await http::async_read(stream, buffer, parser,
                                      asio::redirect_error(asio::use_awaitable, ec));
        co_return ec;
    }
};

client::client(asio::io_context &io, const settings::address &address, std::size_t max_idle)
    : io_(io), address_(address), max_idle_(max_idle) {}

client::~client() = default;

awaitable<reply> client::call(std::string method, std::string target, std::string body,
                              seconds timeout, bool is_cbor, permission permitted) {
    last_used_at_ = steady_now();
    auto connected = take_idle();
    bool reused = static_cast<bool>(connected);
    auto deadline = std::chrono::steady_clock::now() + timer_ticks(timeout);
    for (;;) {
        if (!connected)
            connected = co_await connect(deadline);
        if (!connected)
            co_return reply_without_answer(call_outcome::not_sent);
        auto message = message_of(address_.host, method, target, body, is_cbor);
        // Guards against a process that was paused while connecting and acts on outdated state.
        if (permitted && !permitted()) {
            keep_idle(std::move(connected));
            co_return reply_without_answer(call_outcome::not_sent);
        }
        response_parser parser;
        parser.body_limit(constants::max_response_body_bytes);
        auto ec = co_await connected->exchange(message, parser, deadline);
        if (!ec) {
            bool keep = parser.get().keep_alive();
            auto result = reply_of(parser);
            if (keep)
                keep_idle(std::move(connected));
            co_return result;
        }
        // The other side had closed the idle connection: a GET can be repeated safely.
        bool stale = reused && ec != beast::error::timeout && method == "GET" &&
                     std::chrono::steady_clock::now() < deadline;
        connected.reset();
        if (!stale)
            co_return reply_without_answer(call_outcome::unknown);
        reused = false;
    }
}

awaitable<std::unique_ptr<client::connection>> client::connect(ticks deadline) {
    auto opened = std::make_unique<connection>(io_);
    boost::system::error_code ec;
    opened->stream.expires_at(deadline);
    co_await opened->stream.async_connect(endpoint_of(address_),
                                          asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
        co_return nullptr;
    opened->stream.socket().set_option(tcp::no_delay(true), ec);
    co_return opened;
}

std::unique_ptr<client::connection> client::take_idle() {
    if (idle_.empty())
        return nullptr;
    auto reused = std::move(idle_.back());
    idle_.pop_back();
    return reused;
}

void client::keep_idle(std::unique_ptr<connection> finished) {
    finished->stream.expires_never();
    if (idle_.size() < max_idle_)
        idle_.push_back(std::move(finished));
}

} // namespace spindlecroft::net
