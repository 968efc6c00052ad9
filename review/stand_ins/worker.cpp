#include "stand_ins/worker.hpp"
#include "stand_ins/world.hpp"
#include <fmt/format.h>

namespace review {

using net::steady_now;

namespace {

constexpr seconds answer_limit{4};
constexpr seconds least_interval{0.5};
constexpr seconds fetch_time{0.5};
constexpr seconds step{0.05};

std::string job_of(const std::string &task) {
    return task.substr(0, task.rfind('/'));
}

spindlecroft::settings::address parsed(const std::string &text) {
    auto colon = text.rfind(':');
    return {text.substr(0, colon), static_cast<unsigned short>(std::stoi(text.substr(colon + 1)))};
}

} // namespace

worker::worker(world &around, const cloud::machine &description)
    : name(description.name), frame(description.frame), zone(description.zone),
      address(description.address), spot(description.spot), world_(around),
      lease_from_(steady_now()) {
    node = around.luck() % around.controllers.size();
    for (const auto &type : around.setup.machine_types)
        if (type.at("name").as_string() == frame) {
            cores_ = type.at("cores").to_number<double>();
            mem_gb_ = type.at("memGb").to_number<double>();
        }
    server_ = std::make_unique<net::server>(
        around.io, parsed(address), [this](net::request received) { return serve(received); },
        net::server_limits{}, "worker");
}

void worker::start() {
    world_.note(fmt::format("{}: up ({} in {})", name, frame, zone));
    server_->start();
    net::spawn(world_.io, run_reports(), "reports of " + name);
    net::spawn(world_.io, run_tasks(), "tasks of " + name);
}

void worker::end() {
    *ended_ = true;
    tasks.clear();
    server_->stop();
}

bool worker::has(const std::string &id) const {
    for (const auto &[key, kept] : tasks)
        if (key.first == id && (kept.stage == "running" || kept.stage == "flushing"))
            return true;
    return false;
}

bool worker::runs_any(const std::string &job) const {
    for (const auto &[key, kept] : tasks)
        if (job_of(key.first) == job && (kept.stage == "running" || kept.stage == "flushing"))
            return true;
    return false;
}

json::object worker::report() {
    json::array threads;
    for (const auto &[id, kept] : tasks) {
        json::object entry{{"thread", id.first}, {"try", id.second}, {"stage", kept.stage}};
        if (kept.stage == "exited") {
            entry["cause"] = kept.cause;
            if (kept.kept)
                entry["kept"] = true;
        }
        threads.push_back(entry);
    }
    return {{"spindle", name},    {"address", address}, {"frame", frame},   {"croft", zone},
            {"loaners", spot},    {"shift", shift},     {"tally", ++tally}, {"warrant", warrant},
            {"recallS", nullptr}, {"threads", threads}};
}

void worker::new_session(const char *why) {
    if (!tasks.empty())
        world_.note(fmt::format("{}: {}, kills and forgets {} tasks", name, why, tasks.size()));
    tasks.clear();
    ++shift;
    lease_from_ = steady_now();
    changed();
}

double worker::used(const char *field) const {
    double sum = 0;
    for (const auto &[id, kept] : tasks)
        if (kept.stage != "exited")
            sum += world_.jobs.at(job_of(id.first)).fields.at(field).to_number<double>();
    return sum;
}

void worker::start_task(const key &id) {
    if (tasks.count(id))
        return;
    auto &added = tasks[id];
    changed();
    auto refuse = [&](const char *cause) {
        added.stage = "exited";
        added.cause = cause;
        world_.note(
            fmt::format("{}: start of {} try {} refused: {}", name, id.first, id.second, cause));
    };
    auto job = world_.jobs.find(job_of(id.first));
    if (job == world_.jobs.end())
        return refuse("no_such");
    for (const auto &[other, kept] : tasks)
        if (other.first == id.first && other.second != id.second && kept.stage != "exited")
            return refuse("in_use");
    if (used("cores") > cores_ + 1e-6 || used("memGb") > mem_gb_ + 1e-6)
        return refuse("no_room");
    added.run_since = steady_now();
    world_.note(fmt::format("{}: start of {} try {}", name, id.first, id.second));
}

void worker::execute(const json::array &orders) {
    for (const auto &order : orders) {
        key id{std::string(order.at("thread").as_string()),
               order.at("try").to_number<std::uint64_t>()};
        auto verb = order.at("verb").as_string();
        if (verb == "start") {
            start_task(id);
        } else if (verb == "kill") {
            auto found = tasks.find(id);
            if (found == tasks.end() || found->second.stage == "exited")
                continue;
            found->second.stage = "exited";
            found->second.cause = "halted";
            world_.note(fmt::format("{}: kill of {} try {}", name, id.first, id.second));
            changed();
        } else if (verb == "reap") {
            if (auto found = tasks.find(id);
                found != tasks.end() && found->second.stage == "exited") {
                tasks.erase(found);
                changed();
            }
        }
    }
}

awaitable<void> worker::run_tasks() {
    auto over = ended_;
    while (!*over) {
        co_await net::sleep_for(step);
        if (*over)
            co_return;
        if (hanging)
            continue;
        auto now = steady_now();
        if (now - lease_from_ > seconds{world_.setup.lease_s})
            new_session("its lease has expired");
        for (auto &[id, kept] : tasks) {
            const auto &job = world_.jobs.at(job_of(id.first));
            std::string image(job.fields.at("bobbin").as_string());
            if (kept.stage == "pulling" &&
                (images_.count(image) || now - kept.run_since > fetch_time)) {
                images_.insert(image);
                if (sick) {
                    kept.stage = "exited";
                    kept.cause = "error";
                    ++failed;
                    world_.note(fmt::format("{}: {} try {} fails", name, id.first, id.second));
                    changed();
                    continue;
                }
                kept.stage = "running";
                kept.run_since = now;
                world_.note(fmt::format("{}: {} try {} runs", name, id.first, id.second));
                for (const auto &[other_name, other] : world_.workers)
                    if (other.get() != this && !other->ended() && other->has(id.first))
                        world_.violation(fmt::format("ran_twice: {} starts on {} while it is on {}",
                                                     id.first, name, other_name));
                changed();
            } else if (kept.stage == "running" && job.fields.at("shape").as_string() == "array" &&
                       now - kept.run_since > job.run_time) {
                kept.stage = "exited";
                kept.cause = "done";
                world_.done_tasks.insert(id.first);
                world_.note(fmt::format("{}: {} try {} done", name, id.first, id.second));
                changed();
            }
        }
    }
}

awaitable<void> worker::run_reports() {
    auto over = ended_;
    std::uniform_real_distribution<double> spread(0.75, 1.25);
    std::map<std::size_t, std::unique_ptr<net::client>> clients;
    while (!*over) {
        auto sent_at = steady_now();
        auto due = sent_at + seconds{world_.setup.report_s * spread(world_.luck)};
        changed_ = false;
        bool answered = false;
        std::optional<std::size_t> next_node;
        if (!hanging && !silent) {
            auto sent_shift = shift;
            auto &client = clients[node];
            if (!client)
                client = std::make_unique<net::client>(world_.io, world_.controllers[node].api, 1);
            auto body = json::serialize(report());
            ++reports;
            auto reply = co_await client->call("POST", "/checkin", std::move(body), answer_limit);
            if (*over)
                co_return;
            while (hanging && !*over)
                co_await net::sleep_for(step);
            bool in_time = steady_now() - sent_at < answer_limit;
            if (reply.status == 200 && in_time && !deaf) {
                answered = true;
                auto answer = json::parse(reply.body);
                auto token = answer.at("warrant").to_number<std::uint64_t>();
                if (token >= warrant && sent_shift == shift) {
                    changed_ = changed_ || token > warrant;
                    warrant = token;
                    lease_from_ = sent_at;
                    answered_at = steady_now();
                    execute(answer.at("orders").as_array());
                }
            } else if (reply.status == 421 && !deaf) {
                auto answer = json::parse(reply.body).as_object();
                if (const auto *foreman = answer.if_contains("foreman"))
                    for (std::size_t i = 0; i < world_.controllers.size(); ++i)
                        if (world_.controllers[i].name == foreman->as_string() && i != node)
                            next_node = i;
            }
            if (!answered)
                clients.erase(node);
        }
        if (next_node) {
            node = *next_node;
            co_await net::sleep_for(seconds{0.25});
            continue;
        }
        if (!answered) {
            node = (node + 1) % world_.controllers.size();
            co_await net::sleep_for(seconds{1});
            continue;
        }
        while (!*over && steady_now() < due &&
               !(changed_ && steady_now() - sent_at >= least_interval))
            co_await net::sleep_for(step);
    }
}

awaitable<net::response> worker::serve(net::request received) {
    auto over = ended_;
    if (received.target == "/inspect")
        co_return answer_of(200, report());
    if (deaf)
        co_await net::sleep_for(seconds{600});
    bool is_late = false;
    if (command_delay) {
        auto delay = command_delay();
        is_late = delay > seconds{};
        if (is_late)
            co_await net::sleep_for(delay);
    }
    while (hanging && !*over)
        co_await net::sleep_for(step);
    if (*over)
        co_await net::sleep_for(seconds{600});
    ++commands;
    auto body = json::parse(received.body).as_object();
    const auto *token = body.if_contains("warrant");
    const auto *session = body.if_contains("shift");
    if (!token || !session)
        co_return answer_of(400, {{"error", "warrant or shift is missing"}});
    if (token->to_number<std::uint64_t>() < warrant || session->to_number<std::uint64_t>() != shift)
        co_return answer_of(409, report());
    if (token->to_number<std::uint64_t>() > warrant) {
        warrant = token->to_number<std::uint64_t>();
        changed();
    }
    execute(body.at("orders").as_array());
    if (on_command)
        on_command(received.body);
    if (is_late)
        co_await net::sleep_for(seconds{600});
    co_return answer_of(200, report());
}

} // namespace review
