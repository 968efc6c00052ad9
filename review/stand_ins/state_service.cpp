#include "stand_ins/state_service.hpp"
#include "stand_ins/world.hpp"
#include <algorithm>

namespace review {

using net::steady_now;

namespace {

constexpr std::size_t kept_changes = 10'000;
constexpr std::size_t most_items = 1000;
constexpr std::size_t most_page_bytes = std::size_t{512} * 1024;
constexpr std::size_t most_transaction_bytes = std::size_t{64} * 1024;
constexpr seconds usual_latency{0.002};

std::map<std::string, std::string> query_of(const std::string &target) {
    std::map<std::string, std::string> out;
    auto from = target.find('?');
    while (from != std::string::npos) {
        auto to = target.find('&', from + 1);
        auto part = target.substr(from + 1, to == std::string::npos ? to : to - from - 1);
        auto sign = part.find('=');
        out[part.substr(0, sign)] = sign == std::string::npos ? "" : part.substr(sign + 1);
        from = to;
    }
    return out;
}

std::string get(const std::map<std::string, std::string> &query, const std::string &name) {
    auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

} // namespace

bool rate_bucket::take(double count, time_point now) {
    if (filled_at_)
        tokens_ = std::min(rate_, tokens_ + (now - *filled_at_).count() * rate_);
    filled_at_ = now;
    if (tokens_ < count)
        return false;
    tokens_ -= count;
    return true;
}

state_service::state_service(net::asio::io_context &io, state_limits limits)
    : io_(io), limits_(limits), requests_(limits.rps), writes_(limits.write_rps) {}

spindlecroft::settings::address state_service::open_door() {
    auto at = free_address();
    auto index = doors_.size();
    doors_.push_back({});
    doors_.back().server = std::make_unique<net::server>(
        io_, at, [this, index](net::request received) { return serve(index, std::move(received)); },
        net::server_limits{}, "state");
    doors_.back().server->start();
    return at;
}

void state_service::set_outage(bool on) {
    if (outage_ && !on)
        for (auto &[id, kept] : leases_)
            kept.ends = steady_now() + kept.ttl;
    outage_ = on;
}

std::optional<json::value> state_service::value_of(const std::string &key) const {
    auto found = keys_.find(key);
    return found == keys_.end() ? std::nullopt : std::optional(found->second.data);
}

awaitable<net::response> state_service::serve(std::size_t index, net::request received) {
    treatment how;
    if (doors_[index].how)
        how = doors_[index].how(received);
    co_await net::sleep_for(usual_latency + how.before);
    net::response answer = answer_of(503, {{"error", "trouble"}});
    if (!how.refuse)
        answer = co_await execute(index, received);
    if (how.no_answer) {
        co_await net::sleep_for(seconds{600});
        answer.close_connection = true;
    }
    if (how.after > seconds{})
        co_await net::sleep_for(how.after);
    co_return answer;
}

awaitable<net::response> state_service::execute(std::size_t index, const net::request &received) {
    auto now = steady_now();
    expire_leases();
    auto path = received.target.substr(0, received.target.find('?'));
    auto query = query_of(received.target);
    if (outage_)
        co_return answer_of(503, {{"error", "trouble"}});
    if (!requests_.take(1, now)) {
        ++refused_for_rate;
        co_return answer_of(429, {{"error", "rate"}});
    }
    if (path == "/watch")
        co_return co_await watch(index, query);
    if (path == "/kv")
        co_return range(query);
    if (path.starts_with("/kv/")) {
        auto found = keys_.find(path.substr(4));
        if (found == keys_.end())
            co_return answer_of(404, {{"ledger", ledger_}});
        json::object body{
            {"key", found->first}, {"data", found->second.data}, {"mark", found->second.mark}};
        if (found->second.loan)
            body["loan"] = found->second.loan;
        co_return answer_of(200, body);
    }
    if (path == "/commit") {
        if (received.body.size() > most_transaction_bytes)
            co_return answer_of(400, {{"error", "too large"}});
        co_return commit(index, json::parse(received.body).as_object());
    }
    if (path == "/leases") {
        seconds ttl{json::parse(received.body).at("ttlMs").to_number<double>() / 1000};
        leases_[++last_lease_] = {ttl, now + ttl};
        co_return answer_of(200, {{"loan", last_lease_}});
    }
    auto id = std::stoull(path.substr(std::string("/leases/").size()));
    if (!leases_.count(id))
        co_return answer_of(404, {{"error", "no such lease"}});
    if (received.method == "DELETE")
        end_lease(id);
    else
        leases_[id].ends = now + leases_[id].ttl;
    co_return answer_of(200, {});
}

net::response state_service::range(const std::map<std::string, std::string> &query) const {
    auto prefix = get(query, "starts"), since = get(query, "since");
    std::size_t limit =
        std::min<std::size_t>(most_items, std::stoull(get(query, "most") + "0") / 10);
    json::array items;
    std::size_t bytes = 0;
    bool more = false;
    for (auto next = keys_.lower_bound(prefix); next != keys_.end(); ++next) {
        if (!next->first.starts_with(prefix))
            break;
        if (next->first <= since)
            continue;
        auto size = json::serialize(next->second.data).size() + next->first.size() + 50;
        if (items.size() >= limit || bytes + size > most_page_bytes) {
            more = true;
            break;
        }
        bytes += size;
        items.push_back(
            {{"key", next->first}, {"data", next->second.data}, {"mark", next->second.mark}});
    }
    return answer_of(200, {{"items", items}, {"more", more}, {"ledger", ledger_}});
}

net::response state_service::commit(std::size_t index, const json::object &transaction) {
    const auto *apply = transaction.if_contains("apply");
    static const json::array none;
    const auto &operations = apply ? apply->as_array() : none;
    const auto *when = transaction.if_contains("when");
    const auto &conditions = when ? when->as_array() : none;
    if (operations.size() > static_cast<std::size_t>(limits_.txn_ops) ||
        conditions.size() > 4 * static_cast<std::size_t>(limits_.txn_ops))
        return answer_of(400, {{"error", "too many operations or conditions"}});
    for (const auto &operation : operations)
        if (const auto *data = operation.as_object().if_contains("data"))
            if (json::serialize(*data).size() > static_cast<std::size_t>(limits_.value_kb * 1024))
                return answer_of(400, {{"error", "value too large"}});
    if (!writes_.take(static_cast<double>(operations.size()), steady_now())) {
        ++refused_for_rate;
        return answer_of(429, {{"error", "rate"}});
    }
    for (const auto &operation : operations)
        if (const auto *loan = operation.as_object().if_contains("loan"))
            if (!leases_.count(loan->to_number<std::uint64_t>()))
                return answer_of(400, {{"error", "no such lease"}});
    json::array failed;
    for (const auto &condition : conditions) {
        std::string key(condition.at("key").as_string());
        auto found = keys_.find(key);
        auto mark = found == keys_.end() ? 0 : found->second.mark;
        if (mark != condition.at("mark").to_number<std::uint64_t>())
            failed.emplace_back(key);
    }
    if (!failed.empty()) {
        ++conflicts;
        return answer_of(409, {{"failed", failed}, {"ledger", ledger_}});
    }
    if (operations.empty())
        return answer_of(200, {{"ledger", ledger_}});
    ++commits;
    ++ledger_;
    for (const auto &operation : operations) {
        const auto &fields = operation.as_object();
        if (const auto *key = fields.if_contains("drop")) {
            drop(std::string(key->as_string()));
            continue;
        }
        const auto *loan = fields.if_contains("loan");
        write(std::string(fields.at("write").as_string()), fields.at("data"),
              loan ? loan->to_number<std::uint64_t>() : 0);
    }
    if (on_commit)
        on_commit(index, transaction);
    return answer_of(200, {{"ledger", ledger_}});
}

awaitable<net::response> state_service::watch(std::size_t index,
                                              const std::map<std::string, std::string> &query) {
    auto prefix = get(query, "starts");
    auto since = std::stoull(get(query, "since"));
    auto hold = get(query, "holdMs");
    auto hold_end = steady_now() + seconds{hold.empty() ? 0 : std::stod(hold) / 1000};
    for (;;) {
        expire_leases();
        bool refused = doors_[index].how && doors_[index].how({"GET", "/watch", ""}).refuse;
        if (!outage_ && !refused) { // an open watch waits through an outage
            if (since < forgotten_through_)
                co_return answer_of(410, {{"error", "too old"}});
            json::array news;
            auto first = std::partition_point(changes_.begin(), changes_.end(),
                                              [&](const auto &kept) { return kept.mark <= since; });
            for (; first != changes_.end(); ++first) {
                if (!first->key.starts_with(prefix))
                    continue;
                json::object event{{first->data ? "write" : "drop", first->key},
                                   {"mark", first->mark}};
                if (first->data)
                    event["data"] = *first->data;
                news.push_back(event);
            }
            if (!news.empty() || steady_now() >= hold_end)
                co_return answer_of(200, {{"ledger", ledger_}, {"news", news}});
        }
        co_await net::sleep_for(seconds{0.005});
    }
}

void state_service::write(const std::string &key, json::value data, std::uint64_t loan) {
    changes_.push_back({ledger_, key, data});
    keys_[key] = {std::move(data), ledger_, loan};
    while (changes_.size() > kept_changes) {
        forgotten_through_ = changes_.front().mark;
        changes_.pop_front();
    }
}

void state_service::drop(const std::string &key) {
    if (keys_.erase(key))
        changes_.push_back({ledger_, key, std::nullopt});
}

void state_service::end_lease(std::uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> ended;
    for (const auto &[key, kept] : keys_)
        if (kept.loan == id)
            ended.push_back(key);
    if (!ended.empty())
        ++ledger_;
    for (const auto &key : ended)
        drop(key);
}

void state_service::expire_leases() {
    if (outage_)
        return;
    std::vector<std::uint64_t> ended;
    for (const auto &[id, kept] : leases_)
        if (steady_now() > kept.ends)
            ended.push_back(id);
    for (auto id : ended)
        end_lease(id);
}

} // namespace review
