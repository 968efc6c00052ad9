// The cloud.
#include "world.hpp"
#include <fmt/format.h>

namespace review {

namespace {

json::object type_of(const deployment::type &type, const std::vector<std::string> &zones) {
    json::array crofts;
    for (const auto &zone : zones)
        crofts.push_back(json::string(zone));
    return {{"name", type.name},
            {"cores", type.cores},
            {"gpus", 0.0},
            {"memGb", type.memory_gb},
            {"localGb", 40.0},
            {"pullGbPerS", 1.0},
            {"hourly", type.cores / 10},
            {"marketPrice", type.cores / 25},
            {"startupS", type.boot_s},
            {"crofts", crofts}};
}

const char *stage_of(const worker &machine, double at) {
    constexpr double unnoticed_s = 30;
    if (machine.failed_at > 0 && at > machine.failed_at + unnoticed_s)
        return "failed";
    return machine.up ? "running" : "starting";
}

} // namespace

awaitable<net::response> cloud::answer(net::request message) {
    co_await world_.sleep(0.08);
    auto now = world_.now();
    tokens_ =
        std::min(2 * world_.conf.cloud_rps, tokens_ + (now - refilled_at_) * world_.conf.cloud_rps);
    refilled_at_ = now;
    if (trouble)
        co_return say(503, json::object{{"error", "trouble"}});
    if (tokens_ < 1)
        co_return say(429, json::object{{"error", "too many requests"}});
    tokens_ -= 1;
    auto path = message.target.substr(0, message.target.find('?'));
    if (path == "/machine_types") {
        json::array frames;
        for (const auto &type : world_.conf.types)
            frames.push_back(type_of(type, world_.conf.zones));
        co_return say(200, json::object{{"frames", frames}});
    }
    if (path == "/hosts/delete") {
        auto request = json::parse(message.body);
        for (const auto &each : request.at("spindles").as_array()) {
            auto name = std::string(each.as_string());
            auto found = world_.workers.find(name);
            if (found == world_.workers.end())
                continue;
            world_.record("cloud: " + name + " deleted");
            found->second->die();
            life_[name].to = now;
        }
        co_return say(200, json::object{});
    }
    if (message.method == "POST")
        co_return rent(json::parse(message.body).as_object());
    co_return list(query_of(message.target));
}

net::response cloud::list(const std::map<std::string, std::string> &query) {
    auto since = query.contains("since") ? query.at("since") : "";
    auto at = world_.now() - world_.uniform(0.5, 2) * world_.conf.list_lag_s;
    json::array spindles;
    for (auto &[name, life] : life_) {
        if (name <= since || life.from > at || (life.to && *life.to <= at))
            continue;
        auto &machine = *world_.workers.at(name);
        spindles.push_back(json::object{{"uid", name},
                                        {"address", machine.address_text()},
                                        {"frame", machine.type.name},
                                        {"croft", machine.zone},
                                        {"loaners", machine.spot},
                                        {"stage", stage_of(machine, at)},
                                        {"heldS", at - life.from}});
    }
    return say(200, json::object{{"spindles", spindles}, {"more", false}});
}

worker &cloud::add(const deployment::type &type, const std::string &zone, bool spot,
                   double boot_s) {
    auto name = fmt::format("i-{:06}", ++count_);
    auto &added = world_.workers[name];
    added = std::make_unique<worker>(world_, name, type, zone, spot);
    added->rented_at = world_.now();
    life_[name] = {world_.now(), std::nullopt};
    world_.spawn(boot(added.get(), boot_s));
    return *added;
}

awaitable<void> cloud::boot(worker *booting, double after) {
    co_await world_.sleep(after);
    if (!booting->dead)
        booting->start();
}

net::response cloud::rent(const json::object &message) {
    auto id = std::string(message.at("hire").as_string());
    if (auto known = requests_.find(id); known != requests_.end())
        return say(200, json::object{{"spindles", known->second}});
    auto frame = std::string(message.at("frame").as_string());
    auto zone = std::string(message.at("croft").as_string());
    bool spot = message.at("loaners").as_bool();
    auto count = message.at("count").to_number<int>();
    int present = 0;
    for (auto &[name, each] : world_.workers)
        present +=
            !each->dead && each->type.name == frame && each->zone == zone && each->spot == spot;
    json::array rented;
    for (const auto &type : world_.conf.types) {
        if (type.name != frame)
            continue;
        for (; count > 0 && present < world_.conf.capacity; --count, ++present)
            rented.push_back(json::string(
                add(type, zone, spot, type.boot_s * boot_factor * world_.uniform(0.6, 1.5)).name));
    }
    if (rented.empty())
        return say(503, json::object{{"error", "no capacity"}});
    requests_[id] = rented;
    world_.record("cloud: rented " + json::serialize(rented) + " " + frame + " " + zone);
    return say(200, json::object{{"spindles", rented}});
}

} // namespace review
