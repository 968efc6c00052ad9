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
                           const std::string &target, const std::string &body, bool cbor) {
    request_message message(http::string_to_verb(method), target, http_version);
    message.set(http::field::host, host);
    if (!body.empty() || method == "POST") {
        message.set(http::field::content_type, content_type(cbor));
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

    // Sends the request and reads its answer.
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

client::client(asio::io_context &io, const settings::address &to, std::size_t idle)
    : io_(io), to_(to), idle_limit_(idle) {}

client::~client() = default;

awaitable<reply> client::call(std::string method, std::string target, std::string body,
                              seconds timeout, bool cbor, permission permitted) {
    used_at_ = steady_now();
    auto open = take_idle();
    bool reused = static_cast<bool>(open);
    auto deadline = std::chrono::steady_clock::now() + timer_ticks(timeout);
    for (;;) {
        if (!open)
            open = co_await connect(deadline);
        if (!open)
            co_return reply_without_answer(call_outcome::not_sent);
        auto message = message_of(to_.host, method, target, body, cbor);
        // Guards against a process that stood still while it connected and acts on old knowledge.
        if (permitted && !permitted()) {
            keep_idle(std::move(open));
            co_return reply_without_answer(call_outcome::not_sent);
        }
        response_parser parser;
        parser.body_limit(constants::max_response_body_bytes);
        auto ec = co_await open->exchange(message, parser, deadline);
        if (!ec) {
            bool keep = parser.get().keep_alive();
            auto result = reply_of(parser);
            if (keep)
                keep_idle(std::move(open));
            co_return result;
        }
        // A kept connection that the other side had closed: a GET is safe to send again.
        bool stale = reused && ec != beast::error::timeout && method == "GET" &&
                     std::chrono::steady_clock::now() < deadline;
        open.reset();
        if (!stale)
            co_return reply_without_answer(call_outcome::unknown);
        reused = false;
    }
}

awaitable<std::unique_ptr<client::connection>> client::connect(ticks deadline) {
    auto fresh = std::make_unique<connection>(io_);
    boost::system::error_code ec;
    fresh->stream.expires_at(deadline);
    co_await fresh->stream.async_connect(endpoint_of(to_),
                                         asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
        co_return nullptr;
    fresh->stream.socket().set_option(tcp::no_delay(true), ec);
    co_return fresh;
}

std::unique_ptr<client::connection> client::take_idle() {
    if (idle_.empty())
        return nullptr;
    auto kept = std::move(idle_.back());
    idle_.pop_back();
    return kept;
}

void client::keep_idle(std::unique_ptr<connection> open) {
    open->stream.expires_never();
    if (idle_.size() < idle_limit_)
        idle_.push_back(std::move(open));
}

} // namespace spindlecroft::net
