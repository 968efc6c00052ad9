#include "store/key_value_client.hpp"
#include "constants.hpp"
#include <algorithm>
#include <fmt/format.h>
#include <type_traits>

namespace spindlecroft::store {

namespace c = constants;
using net::awaitable;

namespace {

constexpr std::size_t idle_connections = 8; // keep-alive connections to the store
constexpr seconds budget_poll{0.02};        // polling interval while the budget is used up
constexpr double least_write_rate = 2.0;    // writes per second
constexpr double leader_request_share =
    0.5; // share of the request rate; the other controllers split the rest

constexpr int http_ok = 200;
constexpr int http_bad_request = 400;
constexpr int http_not_found = 404;
constexpr int http_conflict = 409;
constexpr int http_gone = 410;
constexpr int http_too_many_requests = 429;
constexpr int http_unavailable = 503;

bool answered_with(const net::reply &reply, int status) {
    return reply.outcome == net::call_outcome::answered && reply.status == status;
}

// Returns the parsed response, or nullopt if it is malformed.
template <class Parse>
auto parsed(Parse parse) -> std::optional<std::invoke_result_t<Parse>> {
    try {
        return parse();
    } catch (const wire::malformed_message &error) {
        spdlog::warn("malformed response from the key-value store: {}", error.what());
        return std::nullopt;
    }
}

// May throw malformed_message.
transaction_result parse_transaction(const net::reply &reply) {
    transaction_result result;
    if (reply.status == http_ok) {
        result.outcome = transaction_outcome::committed;
        result.revision = wire::parse_txn_answer(reply.body).revision;
    } else if (reply.status == http_conflict) {
        auto answer = wire::parse_txn_answer(reply.body);
        result.outcome = transaction_outcome::conflict;
        result.failed = std::move(answer.failed);
        result.revision = answer.revision;
    } else if (reply.status == http_bad_request) {
        result.outcome = transaction_outcome::rejected;
        result.error = reply.body;
    } else if (reply.status == http_too_many_requests || reply.status == http_unavailable) {
        result.outcome = transaction_outcome::refused; // not executed
    } else {
        result.outcome = transaction_outcome::unknown; // may have been executed
    }
    return result;
}

} // namespace

key_value_client::key_value_client(net::asio::io_context &io, const settings::settings &settings)
    : client_(io, settings.key_value_address, idle_connections), settings_(settings),
      request_budget_(1), write_budget_(1),
      write_rate_(settings.key_value_write_rps, settings.next_key_value_write_rps),
      last_reply_at_(net::steady_now()) {
    set_leading(false);
}

void key_value_client::set_leading(bool yes) {
    leading_ = yes;
    set_rates();
}

// Splits the store's rate limits among the controllers; the leader gets the largest share.
void key_value_client::set_rates() {
    double request_share = 1.0;
    double write_share = 1.0;
    if (!settings_.peers.empty()) {
        auto others = static_cast<double>(settings_.peers.size());
        request_share = leading_ ? leader_request_share : leader_request_share / others;
        write_share = leading_ ? c::leader_write_share : (1 - c::leader_write_share) / others;
    }
    request_budget_.set_rate(c::key_value_rate_share * settings_.key_value_rps * request_share);
    write_budget_.set_rate(
        std::max(least_write_rate, c::key_value_rate_share * write_rate_.limit() * write_share));
}

awaitable<void> key_value_client::wait_for_budget(request_priority priority, double write_count) {
    // Leadership requests are never delayed by the local budget; they only count towards it.
    if (priority == request_priority::leadership) {
        auto now = net::steady_now();
        (void)request_budget_.try_take(1, priority, now);
        (void)write_budget_.try_take(write_count, priority, now);
        co_return;
    }
    if (write_count <= 0) {
        co_await wait_for_request_budget(priority);
        co_return;
    }
    write_queue_entry entry(write_queue_, net::steady_now());
    auto effective_priority = co_await wait_for_write_budget(entry, priority, write_count);
    co_await wait_for_request_budget(effective_priority);
}

awaitable<request_priority> key_value_client::wait_for_write_budget(const write_queue_entry &entry,
                                                                    request_priority priority,
                                                                    double write_count) {
    for (;;) {
        auto now = net::steady_now();
        auto effective_priority = entry.effective_priority(priority, now);
        if (entry.may_proceed(priority, now) &&
            write_budget_.try_take(write_count, effective_priority, now))
            co_return effective_priority;
        co_await net::sleep_for(budget_poll);
    }
}

awaitable<void> key_value_client::wait_for_request_budget(request_priority priority) {
    while (!request_budget_.try_take(1, priority, net::steady_now()))
        co_await net::sleep_for(budget_poll);
}

awaitable<net::reply> key_value_client::call(std::string method, std::string target,
                                             std::string body, seconds timeout,
                                             request_priority priority, double write_count,
                                             net::permission permitted) {
    co_await wait_for_budget(priority, write_count);
    ++sent_requests;
    sent_writes += static_cast<std::uint64_t>(write_count);
    auto reply = co_await client_.call(std::move(method), std::move(target), std::move(body),
                                       timeout, false, std::move(permitted));
    note_reply(reply, write_count);
    co_return reply;
}

void key_value_client::note_reply(const net::reply &reply, double write_count) {
    if (answered_with(reply, http_too_many_requests)) {
        request_budget_.drain();
        if (write_count > 0)
            on_too_many_writes();
    } else if (reply.outcome != net::call_outcome::answered || reply.status == http_unavailable) {
        failed_since_reply_ = true;
    } else {
        last_reply_at_ = net::steady_now();
        failed_since_reply_ = false;
    }
}

void key_value_client::on_too_many_writes() {
    if (write_rate_.note_refusal(net::steady_now())) {
        spdlog::info("key-value store write limit lowered to {} operations per second",
                     write_rate_.limit());
        set_rates();
    }
    write_budget_.drain();
}

bool key_value_client::is_available(time_point now) const {
    return !failed_since_reply_ && time_since_last_reply(now) < c::store_serving_timeout;
}

awaitable<std::optional<key_lookup>> key_value_client::get(std::string key,
                                                           request_priority priority) {
    auto reply = co_await call("GET", "/kv/" + key, "", c::key_value_timeout, priority);
    if (reply.ok())
        co_return parsed([&] {
            return key_lookup{true, 0, *wire::parse_key_value_item(reply.body)};
        });
    if (answered_with(reply, http_not_found))
        co_return parsed([&] {
            return key_lookup{false, wire::parse_store_revision(reply.body), {}};
        });
    co_return std::nullopt;
}

awaitable<std::optional<wire::range_answer>> key_value_client::list(std::string prefix,
                                                                    request_priority priority) {
    wire::range_answer all;
    std::string after;
    for (;;) {
        auto reply = co_await call("GET", wire::range_target(prefix, after, c::key_value_page_size),
                                   "", c::key_value_timeout * 2, priority);
        if (!reply.ok())
            co_return std::nullopt;
        auto page = parsed([&] { return wire::parse_range_answer(reply.body); });
        if (!page)
            co_return std::nullopt;
        // Keeps the first page's revision: a watch from there repeats changes in later pages.
        if (after.empty())
            all.revision = page->revision;
        for (auto &item : page->items)
            all.items.push_back(std::move(item));
        if (!page->has_more || page->items.empty())
            co_return all;
        after = all.items.back().key;
    }
}

awaitable<watch_result> key_value_client::watch(std::string prefix, std::uint64_t since,
                                                int hold_ms, request_priority priority) {
    auto reply = co_await call("GET", wire::watch_target(prefix, since, hold_ms), "",
                               c::key_value_timeout + seconds{hold_ms / 1000.0}, priority);
    watch_result result;
    if (answered_with(reply, http_gone))
        result.outcome = watch_outcome::compacted;
    if (!reply.ok())
        co_return result;
    auto changes = parsed([&] { return wire::parse_watch_answer(reply.body); });
    if (!changes)
        co_return result;
    result.outcome = watch_outcome::changes;
    result.changes = std::move(*changes);
    co_return result;
}

awaitable<transaction_result> key_value_client::commit(std::vector<txn_condition> conditions,
                                                       std::vector<txn_op> ops,
                                                       request_priority priority,
                                                       net::permission permitted) {
    auto write_count = static_cast<double>(ops.size());
    auto reply = co_await call("POST", "/commit", wire::encode_txn(conditions, ops),
                               c::key_value_timeout, priority, write_count, std::move(permitted));
    transaction_result result;
    if (reply.outcome == net::call_outcome::not_sent) {
        result.outcome = transaction_outcome::refused;
        co_return result;
    }
    result.outcome = transaction_outcome::unknown;
    if (reply.outcome == net::call_outcome::unknown)
        co_return result;
    co_return parsed([&] { return parse_transaction(reply); }).value_or(result);
}

awaitable<std::optional<std::uint64_t>> key_value_client::create_lease(seconds ttl) {
    auto reply = co_await call("POST", "/leases",
                               wire::encode_lease_request(static_cast<int>(ttl.count() * 1000)),
                               c::key_value_timeout, request_priority::leadership);
    if (!reply.ok())
        co_return std::nullopt;
    co_return parsed([&] { return wire::parse_lease_id(reply.body); });
}

awaitable<lease_renewal> key_value_client::renew_lease(std::uint64_t lease) {
    auto reply = co_await call("POST", fmt::format("/leases/{}/renew", lease), "{}",
                               c::leader_renew_interval, request_priority::leadership);
    if (reply.ok())
        co_return lease_renewal::renewed;
    if (answered_with(reply, http_not_found))
        co_return lease_renewal::ended;
    co_return lease_renewal::unknown;
}

awaitable<void> key_value_client::revoke_lease(std::uint64_t lease) {
    co_await call("DELETE", fmt::format("/leases/{}", lease), "", c::key_value_timeout,
                  request_priority::leadership);
}

} // namespace spindlecroft::store
