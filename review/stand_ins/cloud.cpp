#include "stand_ins/cloud.hpp"
#include "stand_ins/worker.hpp"
#include "stand_ins/world.hpp"
#include <fmt/format.h>

namespace review {

using net::steady_now;

namespace {
constexpr seconds latency{0.08};
} // namespace

cloud::cloud(world &around) : world_(around), requests_(2 * around.setup.cloud_rps) {}

spindlecroft::settings::address cloud::open_door() {
    auto at = free_address();
    auto door = doors_.size();
    doors_.push_back(std::make_unique<net::server>(
        world_.io, at,
        [this, door](net::request received) { return serve(door, std::move(received)); },
        net::server_limits{}, "cloud"));
    doors_.back()->start();
    return at;
}

void cloud::add_running(const std::string &frame, const std::string &zone, bool spot) {
    auto name = create(frame, zone, spot);
    machines[name].stage = "running";
    machines[name].rented_at = steady_now() - seconds{300};
    snapshot();
    for (auto &entry : history_)
        entry.machines[name] = machines[name];
    world_.workers[name] = std::make_unique<worker>(world_, machines[name]);
    world_.workers[name]->start();
}

std::string cloud::create(const std::string &frame, const std::string &zone, bool spot) {
    auto name = fmt::format("i-{:06}", ++count_);
    machines[name] = {name, frame, zone, text_of(free_address()), spot, "starting", steady_now()};
    return name;
}

void cloud::snapshot() {
    auto now = steady_now();
    history_.push_back({now, machines});
    while (history_.size() > 2 && history_[1].at < now - seconds{60})
        history_.pop_front();
}

awaitable<net::response> cloud::serve(std::size_t door, net::request received) {
    if (on_request)
        on_request(door, received);
    co_await net::sleep_for(latency);
    if (outage)
        co_return answer_of(503, {{"error", "trouble"}});
    if (!requests_.take(1, steady_now()))
        co_return answer_of(429, {{"error", "rate"}});
    auto path = received.target.substr(0, received.target.find('?'));
    if (path == "/machine_types")
        co_return answer_of(200, {{"frames", world_.setup.machine_types}});
    if (path == "/hosts" && received.method == "POST")
        co_return rent(json::parse(received.body).as_object());
    if (path == "/hosts/delete")
        co_return remove(json::parse(received.body).as_object());
    co_return list(received.target);
}

net::response cloud::rent(const json::object &request) {
    std::string hire(request.at("hire").as_string());
    if (auto found = answered_.find(hire); found != answered_.end())
        return answer_of(200, {{"spindles", found->second}});
    auto count = request.at("count").to_number<std::size_t>();
    if (count > 50)
        return answer_of(400, {{"error", "count"}});
    json::array names;
    while (names.size() < count && has_capacity(std::string(request.at("frame").as_string()))) {
        auto name =
            create(std::string(request.at("frame").as_string()),
                   std::string(request.at("croft").as_string()), request.at("loaners").as_bool());
        net::spawn(world_.io, boot(name), "boot");
        names.emplace_back(name);
    }
    if (names.empty()) {
        ++refusals;
        return answer_of(503, {{"error", "no capacity"}});
    }
    ++rentals;
    world_.note(fmt::format("cloud: {} rents {} {} in {}", hire, names.size(),
                            std::string(request.at("frame").as_string()),
                            std::string(request.at("croft").as_string())));
    answered_[hire] = names;
    snapshot();
    return answer_of(200, {{"spindles", names}});
}

bool cloud::has_capacity(const std::string &frame) const {
    auto most = most_of_type.find(frame);
    std::size_t of_type = 0;
    for (const auto &[name, kept] : machines)
        of_type += kept.frame == frame;
    return machines.size() < most_machines &&
           (most == most_of_type.end() || of_type < most->second);
}

awaitable<void> cloud::boot(std::string name) {
    co_await net::sleep_for(boot_time);
    auto found = machines.find(name);
    if (found == machines.end())
        co_return;
    found->second.stage = "running";
    snapshot();
    world_.workers[name] = std::make_unique<worker>(world_, found->second);
    world_.workers[name]->start();
}

void cloud::die(const std::string &name) {
    world_.note(fmt::format("{}: stops, with all that is on it", name));
    world_.workers.at(name)->end();
    net::spawn(world_.io, fail_later(name), "failure of " + name);
}

awaitable<void> cloud::fail_later(std::string name) {
    co_await net::sleep_for(seconds{30});
    if (auto found = machines.find(name); found != machines.end())
        found->second.stage = "failed";
    snapshot();
}

net::response cloud::remove(const json::object &request) {
    for (const auto &entry : request.at("spindles").as_array()) {
        std::string name(entry.as_string());
        if (!machines.erase(name))
            continue;
        ++deletions;
        world_.note("cloud: deleted " + name);
        if (auto found = world_.workers.find(name); found != world_.workers.end())
            found->second->end();
    }
    snapshot();
    return answer_of(200, {});
}

net::response cloud::list(const std::string &target) {
    auto described = steady_now() - seconds{world_.setup.list_lag_s};
    const listing *shown = history_.empty() ? nullptr : &history_.front();
    for (const auto &entry : history_)
        if (entry.at <= described)
            shown = &entry;
    std::string since;
    if (auto at = target.find("since="); at != std::string::npos)
        since = target.substr(at + 6, target.find('&', at) - at - 6);
    json::array items;
    bool more = false;
    if (shown)
        for (const auto &[name, kept] : shown->machines) {
            if (name <= since || kept.rented_at > described)
                continue;
            if (items.size() == 500) {
                more = true;
                break;
            }
            items.push_back({{"uid", name},
                             {"address", kept.address},
                             {"frame", kept.frame},
                             {"croft", kept.zone},
                             {"loaners", kept.spot},
                             {"stage", kept.stage},
                             {"heldS", (described - kept.rented_at).count()}});
        }
    return answer_of(200, {{"spindles", items}, {"more", more}});
}

} // namespace review
