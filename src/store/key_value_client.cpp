#include "store/key_value_client.hpp"
#include "constants.hpp"
#include <fmt/format.h>

namespace spindlecroft::store {

namespace c = constants;
using net::awaitable;

bool budget::take(double n, request_priority u, time_point now) {
    if (last_)
        tokens_ = std::min(burst_, tokens_ + (now - *last_).count() * rate_);
    last_ = now;
    // Each step down in urgency leaves another tenth of the burst to those above.
    double reserve = 0.08 * static_cast<int>(u) * burst_;
    // Guards against starving large transactions: what is above the reserve lets any through, and a
    // large one leaves a debt that all wait for. Asking for its whole size above the reserve let
    // single submissions go before it for ever (simulated machines, 2,250 of them, no task started
    // for a minute).
    if (tokens_ < std::min(reserve + std::min(n, 1.0), burst_))
        return false;
    tokens_ -= n;
    return true;
}

key_value_client::key_value_client(net::asio::io_context &io, const settings::settings &s)
    : client_(io, s.state, 8), settings_(s), requests_(1), writes_(1),
      write_rate_(s.state_write_rps, s.next_state_write_rps), last_ok_(net::steady_now()) {
    leading(false);
}

void key_value_client::leading(bool yes) {
    leading_ = yes;
    set_rates();
}

void key_value_client::set_rates() {
    bool yes = leading_;
    // All nodes together stay below the limits; the leader's part is the larger one.
    auto others = static_cast<double>(std::max<std::size_t>(1, settings_.members.size()));
    double share = settings_.members.empty() ? 1.0
                   : yes                     ? c::leader_write_share
                                             : (1 - c::leader_write_share) / others;
    double floor = settings_.members.empty() ? 1.0 : 0.5;
    requests_.set_rate(c::state_share * settings_.state_rps *
                       (settings_.members.empty() ? 1.0
                        : yes                     ? floor
                                                  : 0.5 / others));
    writes_.set_rate(std::max(2.0, c::state_share * write_rate_.limit() * share));
}

bool write_line::may_go(ticket t, request_priority u, time_point now) const {
    if (u <= request_priority::cancel || waiting_.empty() || waiting_.front() == *t)
        return true;
    return now - waiting_.front() <= constants::write_patience;
}

request_priority write_line::priority_of(ticket t, request_priority u, time_point now) const {
    return now - *t > constants::write_patience ? std::min(u, request_priority::cancel) : u;
}

awaitable<void> key_value_client::admit(request_priority u, double writes) {
    struct place {
        std::shared_ptr<write_line> line;
        write_line::ticket ticket;
        explicit place(std::shared_ptr<write_line> l)
            : line(std::move(l)), ticket(line->enter(net::steady_now())) {}
        ~place() { line->leave(ticket); }
    };
    std::optional<place> in_line;
    if (writes > 0)
        in_line.emplace(line_);
    for (;;) {
        auto now = net::steady_now();
        // Leadership is never made to wait by our own bookkeeping.
        if (u == request_priority::leadership) {
            requests_.take(1, u, now);
            writes_.take(writes, u, now);
            co_return;
        }
        auto priority = u;
        bool turn = true;
        if (in_line) {
            priority = line_->priority_of(in_line->ticket, u, now);
            turn = line_->may_go(in_line->ticket, u, now);
        }
        if (turn && (writes <= 0 || writes_.take(writes, priority, now))) {
            while (!requests_.take(1, priority, net::steady_now()))
                co_await net::sleep_for(seconds{0.02});
            co_return;
        }
        co_await net::sleep_for(seconds{0.02});
    }
}

awaitable<net::reply> key_value_client::call(std::string method, std::string target,
                                             std::string body, seconds timeout, request_priority u,
                                             double writes, net::permission permitted) {
    co_await admit(u, writes);
    ++requests;
    this->writes += static_cast<std::uint64_t>(writes);
    auto r = co_await client_.call(std::move(method), std::move(target), std::move(body), timeout,
                                   false, std::move(permitted));
    if (r.how == net::outcome::answered) {
        if (r.status == 429) {
            requests_.drain();
            if (writes > 0)
                on_too_many_writes();
        } else if (r.status == 503) {
            failed_since_ok_ = true;
        } else {
            last_ok_ = net::steady_now();
            failed_since_ok_ = false;
        }
    } else {
        failed_since_ok_ = true;
    }
    co_return r;
}

void key_value_client::on_too_many_writes() {
    if (write_rate_.refused(net::steady_now())) {
        spdlog::info("the state service allows {} changes a second now", write_rate_.limit());
        set_rates();
    }
    writes_.drain();
}

bool key_value_client::serving(time_point now) const {
    return !failed_since_ok_ && silence(now) < c::served_within;
}

awaitable<std::optional<key_value_client::item>> key_value_client::get(std::string key,
                                                                       request_priority u) {
    auto r = co_await call("GET", "/kv/" + key, "", c::state_timeout, u);
    item i;
    try {
        if (r.ok()) {
            i.found = true;
            i.kv = *wire::parse_item(r.body);
            co_return i;
        }
        if (r.how == net::outcome::answered && r.status == 404) {
            i.at.revision = wire::parse_revision(r.body);
            co_return i;
        }
    } catch (const wire::malformed_message &e) {
        spdlog::warn("state service: {}", e.what());
    }
    co_return std::nullopt;
}

awaitable<std::optional<wire::range_answer>> key_value_client::list(std::string prefix,
                                                                    request_priority u) {
    wire::range_answer all;
    std::string after;
    for (;;) {
        auto r = co_await call("GET", wire::range_target(prefix, after, c::page_items), "",
                               c::state_timeout * 2, u);
        if (!r.ok())
            co_return std::nullopt;
        try {
            auto page = wire::parse_range(r.body);
            // The first page's revision: a watch from there repeats what later pages hold.
            if (after.empty())
                all.revision = page.revision;
            for (auto &i : page.items)
                all.items.push_back(std::move(i));
            if (!page.more || page.items.empty())
                co_return all;
            after = all.items.back().key;
        } catch (const wire::malformed_message &e) {
            spdlog::warn("state service: {}", e.what());
            co_return std::nullopt;
        }
    }
}

awaitable<std::optional<wire::range_answer>>
key_value_client::watch(std::string prefix, std::uint64_t since, int hold_ms, request_priority u,
                        bool &gone) {
    gone = false;
    auto r = co_await call("GET", wire::watch_target(prefix, since, hold_ms), "",
                           c::state_timeout + seconds{hold_ms / 1000.0}, u);
    if (r.how == net::outcome::answered && r.status == 410)
        gone = true;
    if (!r.ok())
        co_return std::nullopt;
    try {
        co_return wire::parse_watch(r.body);
    } catch (const wire::malformed_message &e) {
        spdlog::warn("state service: {}", e.what());
        co_return std::nullopt;
    }
}

awaitable<txn_result> key_value_client::commit(std::vector<txn_condition> when,
                                               std::vector<txn_op> ops, request_priority u,
                                               net::permission permitted) {
    auto n = static_cast<double>(ops.size());
    auto r = co_await call("POST", "/commit", wire::encode_txn(when, ops), c::state_timeout, u, n,
                           std::move(permitted));
    txn_result t;
    if (r.how == net::outcome::not_sent) {
        t.how = txn_outcome::refused;
        co_return t;
    }
    if (r.how == net::outcome::unknown) {
        t.how = txn_outcome::unknown;
        co_return t;
    }
    try {
        if (r.status == 200) {
            t.how = txn_outcome::committed;
            t.revision = wire::parse_txn(r.body).revision;
        } else if (r.status == 409) {
            auto a = wire::parse_txn(r.body);
            t.how = txn_outcome::conflict;
            t.failed = a.failed;
            t.revision = a.revision;
        } else if (r.status == 400) {
            t.how = txn_outcome::bad;
            t.error = r.body;
        } else {
            // 429 and 503 were not executed; anything else may have been.
            t.how =
                r.status == 429 || r.status == 503 ? txn_outcome::refused : txn_outcome::unknown;
        }
    } catch (const wire::malformed_message &e) {
        spdlog::warn("state service: {}", e.what());
        t.how = txn_outcome::unknown;
    }
    co_return t;
}

awaitable<std::optional<std::uint64_t>> key_value_client::new_lease(seconds ttl) {
    auto r =
        co_await call("POST", "/leases", wire::encode_ttl(static_cast<int>(ttl.count() * 1000)),
                      c::state_timeout, request_priority::leadership);
    if (!r.ok())
        co_return std::nullopt;
    try {
        co_return wire::parse_lease(r.body);
    } catch (const wire::malformed_message &e) {
        spdlog::warn("state service: {}", e.what());
        co_return std::nullopt;
    }
}

awaitable<key_value_client::renewal> key_value_client::renew(std::uint64_t lease) {
    auto r = co_await call("POST", fmt::format("/leases/{}/renew", lease), "{}", c::leader_renew,
                           request_priority::leadership);
    if (r.ok())
        co_return renewal::ok;
    if (r.how == net::outcome::answered && r.status == 404)
        co_return renewal::ended;
    co_return renewal::unsure;
}

awaitable<void> key_value_client::end_lease(std::uint64_t lease) {
    co_await call("DELETE", fmt::format("/leases/{}", lease), "", c::state_timeout,
                  request_priority::leadership);
}

} // namespace spindlecroft::store
