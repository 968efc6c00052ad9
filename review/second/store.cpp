// The key-value store.
#include "world.hpp"

namespace review {

namespace {

constexpr std::size_t retained_changes = 10'000;
constexpr std::size_t page_bytes = std::size_t{512} * 1024;

} // namespace

void store::end_outage() {
    outage = false;
    for (auto &[id, each] : leases_)
        each.ends = world_.now() + each.ttl;
}

std::string store::leader() {
    expire();
    auto found = keys.find("leader");
    if (found == keys.end())
        return "";
    const auto *object = found->second.data.if_object();
    for (const auto *name : {"node", "member", "leader"})
        if (const auto *text = object ? object->if_contains(name) : nullptr)
            if (text->is_string())
                return std::string(text->get_string());
    return "";
}

void store::put(const std::string &key, json::value data, std::uint64_t loan) {
    changes_.push_back({ledger_, key, data});
    keys[key] = {std::move(data), ledger_, loan};
}

void store::drop(const std::string &key) {
    if (keys.erase(key) > 0)
        changes_.push_back({ledger_, key, std::nullopt});
    while (changes_.size() > retained_changes) {
        dropped_ = changes_.front().mark;
        changes_.pop_front();
    }
}

void store::end_lease(std::uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> attached;
    for (auto &[key, entry] : keys)
        if (entry.loan == id)
            attached.push_back(key);
    if (!attached.empty())
        ++ledger_;
    for (auto &key : attached)
        drop(key);
}

void store::expire() {
    if (outage)
        return;
    std::vector<std::uint64_t> over;
    for (auto &[id, each] : leases_)
        if (world_.now() > each.ends)
            over.push_back(id);
    for (auto id : over)
        end_lease(id);
}

bool store::within_rate(double writes) {
    auto now = world_.now();
    const auto &conf = world_.conf;
    tokens_ = std::min(conf.state_rps, tokens_ + (now - refilled_at_) * conf.state_rps);
    write_tokens_ =
        std::min(conf.state_write_rps, write_tokens_ + (now - refilled_at_) * conf.state_write_rps);
    refilled_at_ = now;
    if (tokens_ < 1 || write_tokens_ < writes)
        return false;
    tokens_ -= 1;
    write_tokens_ -= writes;
    return true;
}

// Held back as long as this controller is cut off.
awaitable<void> store::blocked(std::size_t node) {
    while (doors.at(node).silent)
        co_await world_.sleep(0.01);
}

awaitable<net::response> store::answer(std::size_t node, net::request message) {
    co_await blocked(node);
    co_await world_.sleep(latency_s / 2 + (world_.chance(slow_share) ? slow_s : 0));
    expire();
    auto path = message.target.substr(0, message.target.find('?'));
    auto query = query_of(message.target);
    if (path == "/watch") {
        if (!outage && !doors.at(node).refused && !within_rate(0))
            co_return say(429, json::object{{"error", "too many requests"}});
        co_return co_await watch(node, std::move(query));
    }
    if (outage || doors.at(node).refused)
        co_return say(503, json::object{{"error", "trouble"}});
    net::response reply;
    if (path == "/commit") {
        auto &door = doors.at(node);
        if (world_.chance(door.late_share)) {
            auto late = [](store &self, std::size_t from, std::string body) -> awaitable<void> {
                co_await self.world_.sleep(self.world_.uniform(2, 12));
                while (self.outage)
                    co_await self.world_.sleep(0.05);
                self.expire();
                self.world_.record("state: a late transaction of " + std::to_string(from) + ": " +
                                   std::to_string(self.commit(from, body).status));
            };
            world_.spawn(late(*this, node, message.body));
            co_await world_.sleep(30);
        }
        reply = commit(node, message.body);
        if (world_.chance(door.unanswered_share))
            co_await world_.sleep(30);
    } else if (!within_rate(0)) {
        reply = say(429, json::object{{"error", "too many requests"}});
    } else if (path == "/kv") {
        reply = list(query);
    } else if (path.starts_with("/kv/")) {
        auto found = keys.find(path.substr(4));
        if (found == keys.end()) {
            reply = say(404, json::object{{"ledger", ledger_}});
        } else {
            json::object item{
                {"key", found->first}, {"data", found->second.data}, {"mark", found->second.mark}};
            if (found->second.loan)
                item["loan"] = found->second.loan;
            reply = say(200, item);
        }
    } else if (path == "/leases") {
        auto ttl = json::parse(message.body).at("ttlMs").to_number<double>() / 1000;
        leases_[++lease_count_] = {ttl, world_.now() + ttl};
        reply = say(200, json::object{{"loan", lease_count_}});
    } else if (path.starts_with("/leases/")) {
        auto id = std::stoull(path.substr(8));
        if (!leases_.contains(id))
            reply = say(404, json::object{{"error", "no such lease"}});
        else {
            if (message.method == "DELETE")
                end_lease(id);
            else
                leases_[id].ends = world_.now() + leases_[id].ttl;
            reply = say(200, json::object{{"loan", id}});
        }
    } else {
        reply = say(400, json::object{{"error", "no such path"}});
    }
    co_await world_.sleep(latency_s / 2);
    co_await blocked(node);
    co_return reply;
}

net::response store::commit(std::size_t node, const std::string &body) {
    auto transaction = json::parse(body).as_object();
    const auto *apply = transaction.if_contains("apply");
    json::array operations = apply && apply->is_array() ? apply->as_array() : json::array{};
    if (!within_rate(static_cast<double>(operations.size()))) {
        ++over_rate;
        return say(429, json::object{{"error", "too many requests"}});
    }
    if (operations.size() > static_cast<std::size_t>(world_.conf.txn_ops) ||
        body.size() > std::size_t{64} * 1024)
        return say(400, json::object{{"error", "too large"}});
    for (auto &operation : operations)
        if (const auto *data = operation.as_object().if_contains("data"))
            if (static_cast<double>(json::serialize(*data).size()) > world_.conf.value_kb * 1024)
                return say(400, json::object{{"error", "too large"}});
    json::array failed;
    if (const auto *when = transaction.if_contains("when"))
        for (const auto &condition : when->as_array()) {
            auto key = std::string(condition.at("key").as_string());
            auto found = keys.find(key);
            if ((found == keys.end() ? 0 : found->second.mark) !=
                condition.at("mark").to_number<std::uint64_t>())
                failed.push_back(json::string(key));
        }
    for (auto &operation : operations)
        if (const auto *loan = operation.as_object().if_contains("loan"))
            if (!leases_.contains(loan->to_number<std::uint64_t>()))
                return say(400, json::object{{"error", "no such lease"}});
    if (!failed.empty()) {
        ++conflicts;
        world_.record("state: conflict of " + std::to_string(node) + " at " +
                      json::serialize(failed));
        return say(409, json::object{{"failed", failed}, {"ledger", ledger_}});
    }
    ++committed;
    if (!operations.empty())
        ++ledger_;
    for (auto &operation : operations) {
        auto &fields = operation.as_object();
        if (const auto *key = fields.if_contains("drop")) {
            drop(std::string(key->as_string()));
            continue;
        }
        const auto *loan = fields.if_contains("loan");
        put(std::string(fields.at("write").as_string()), fields.at("data"),
            loan ? loan->to_number<std::uint64_t>() : 0);
    }
    if (on_applied)
        on_applied(node, operations);
    return say(200, json::object{{"ledger", ledger_}});
}

net::response store::list(const std::map<std::string, std::string> &query) {
    auto text = [&](const char *name) {
        auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    };
    auto prefix = text("starts"), since = text("since");
    std::size_t most = text("most").empty() ? 1000 : std::stoul(text("most"));
    json::array items;
    std::size_t bytes = 0;
    bool more = false;
    for (auto &[key, entry] : keys) {
        if (!key.starts_with(prefix) || key <= since)
            continue;
        json::object item{{"key", key}, {"data", entry.data}, {"mark", entry.mark}};
        bytes += json::serialize(item).size();
        if (items.size() >= std::min<std::size_t>(most, 1000) || bytes > page_bytes) {
            more = true;
            break;
        }
        items.push_back(std::move(item));
    }
    return say(200, json::object{{"items", items}, {"more", more}, {"ledger", ledger_}});
}

awaitable<net::response> store::watch(std::size_t node, std::map<std::string, std::string> query) {
    auto since = std::stoull(query["since"]);
    auto prefix = query["starts"];
    double hold = query.contains("holdMs") ? std::stod(query["holdMs"]) / 1000 : 0;
    auto ends = world_.now() + hold;
    if ((outage || doors.at(node).refused) && hold <= 0)
        co_return say(503, json::object{{"error", "trouble"}});
    auto seen = ledger_ + 1;
    for (;;) {
        expire();
        bool open = !outage && !doors.at(node).refused && !doors.at(node).silent;
        if (open && since < dropped_)
            co_return say(410, json::object{{"ledger", ledger_}});
        if (open && (seen != ledger_ || world_.now() >= ends)) {
            seen = ledger_;
            json::array news;
            for (auto change = changes_.rbegin(); change != changes_.rend(); ++change) {
                if (change->mark <= since)
                    break;
                if (!change->key.starts_with(prefix))
                    continue;
                json::object entry{{change->data ? "write" : "drop", change->key},
                                   {"mark", change->mark}};
                if (change->data)
                    entry["data"] = *change->data;
                news.insert(news.begin(), std::move(entry));
            }
            if (!news.empty() || world_.now() >= ends) {
                json::object body{{"ledger", ledger_}, {"news", news}};
                co_await world_.sleep(latency_s / 2);
                co_await blocked(node);
                co_return say(200, body);
            }
        }
        co_await world_.sleep(0.004);
    }
}

} // namespace review
