// Workers.
#include "world.hpp"
#include <fmt/format.h>

namespace review {

namespace {

constexpr double tick_s = 0.02;
constexpr double answer_limit_s = 4;

} // namespace

worker::worker(world &around, std::string machine, deployment::type of, std::string where,
               bool is_spot)
    : name(std::move(machine)), zone(std::move(where)), type(std::move(of)), spot(is_spot),
      world_(around), address_(around.free_address()) {}

std::string worker::address_text() const {
    return fmt::format("{}:{}", address_.host, address_.port);
}

void worker::start() {
    up = true;
    last_answered_sent_ = last_tick_ = world_.now();
    server_ = std::make_unique<net::server>(
        world_.io, address_, [this](net::request message) { return answer(std::move(message)); },
        net::server_limits{1000, spindlecroft::seconds{1000}, spindlecroft::seconds{60}}, "worker");
    server_->start();
    node_ = world_.any_node();
    world_.record(name + " is up in " + zone);
    world_.spawn(run_reports());
    world_.spawn(run_clock());
}

void worker::die() {
    if (dead)
        return;
    dead = true;
    tasks.clear();
    if (server_)
        server_->stop();
}

// The cloud lists it as running for about 30 s more, then as failed.
void worker::fail() {
    failed_at = world_.now();
    world_.record(name + " stops with all that is on it");
    die();
}

std::string worker::status() {
    json::array threads;
    for (auto &[key, each] : tasks) {
        json::object entry{{"thread", each.name}, {"try", each.attempt}, {"stage", each.stage}};
        if (each.stage == "exited") {
            entry["cause"] = each.cause;
            if (each.cause == "halted")
                entry["kept"] = each.kept;
        }
        threads.push_back(std::move(entry));
    }
    return json::serialize(json::object{{"spindle", name},
                                        {"address", address_text()},
                                        {"frame", type.name},
                                        {"croft", zone},
                                        {"loaners", spot},
                                        {"shift", shift},
                                        {"tally", ++tally},
                                        {"warrant", warrant},
                                        {"recallS", nullptr},
                                        {"threads", threads}});
}

void worker::changed() {
    has_news_ = true;
}

awaitable<void> worker::run_reports() {
    double next = world_.now() + world_.uniform(0, 0.5);
    while (!dead) {
        bool due = world_.now() >= next || (has_news_ && world_.now() >= last_report_ + 0.5);
        if (!due || hung || mute) {
            co_await world_.sleep(tick_s);
            continue;
        }
        has_news_ = false;
        last_report_ = world_.now();
        next = world_.now() + world_.conf.report_s * world_.uniform(0.75, 1.25);
        auto session = shift;
        auto sent_at = world_.now();
        auto body = status();
        last_report_bytes = body.size();
        if (world_.chance(late_copies))
            world_.spawn(repeat_late(body, world_.uniform(2, 1.5 * world_.conf.lease_s)));
        auto reply = co_await world_.call(node_, "POST", "/checkin", body, answer_limit_s);
        while (hung && !dead)
            co_await world_.sleep(tick_s);
        if (dead)
            co_return;
        bool in_time = world_.now() - sent_at <= answer_limit_s && !deaf;
        if (in_time && reply.ok()) {
            auto answer = json::parse(reply.body).as_object();
            const auto *token = answer.if_contains("warrant");
            if (shift == session && token && token->to_number<std::uint64_t>() >= warrant) {
                last_answered_sent_ = std::max(last_answered_sent_, sent_at);
                execute(answer, "answer");
            }
            continue;
        }
        if (in_time && reply.outcome == net::call_outcome::answered && reply.status == 421) {
            std::string foreman;
            boost::system::error_code ec;
            auto said = json::parse(reply.body, ec);
            if (!ec && said.is_object())
                if (const auto *named = said.as_object().if_contains("foreman"))
                    if (named->is_string())
                        foreman = std::string(named->get_string());
            if (foreman.starts_with("spindle-")) {
                auto named = std::stoul(foreman.substr(8));
                if (named != node_ && named < static_cast<std::size_t>(world_.conf.nodes)) {
                    node_ = named;
                    next = world_.now() + world_.uniform(0, 0.5);
                    last_report_ = world_.now() - 0.5;
                    continue;
                }
            }
        }
        node_ = (node_ + 1) % static_cast<std::size_t>(world_.conf.nodes);
        co_await world_.sleep(1);
        next = world_.now();
    }
}

awaitable<void> worker::repeat_late(std::string body, double delay) {
    co_await world_.sleep(delay);
    for (std::size_t node = 0; node < static_cast<std::size_t>(world_.conf.nodes); ++node)
        co_await world_.call(node, "POST", "/checkin", body, 1);
}

// Lease, image fetches, run times and saves.
awaitable<void> worker::run_clock() {
    while (!dead) {
        co_await world_.sleep(tick_s);
        auto passed = world_.now() - last_tick_;
        last_tick_ = world_.now();
        if (hung || dead)
            continue;
        if (world_.now() - last_answered_sent_ > world_.conf.lease_s) {
            if (!tasks.empty())
                world_.record(name + ": the lease expired with " + std::to_string(tasks.size()) +
                              " tasks");
            tasks.clear();
            ++shift;
            last_answered_sent_ = world_.now();
            changed();
        }
        for (auto &[key, each] : tasks) {
            if (each.stage == "pulling") {
                // An image is fetched once for all tasks that wait for it.
                auto image = std::string(each.of->body.at("bobbin").as_string());
                each.fetch_left -= passed;
                if (each.fetch_left > 0 && !images_.contains(image))
                    continue;
                images_.insert(image);
                hold(each);
            } else if (each.stage == "running" && each.of->is_array &&
                       (each.run_left -= passed) <= 0) {
                exit_task(each, "done");
            } else if (each.stage == "flushing" && (each.save_left -= passed) <= 0) {
                each.kept = true;
                exit_task(each, "halted");
            }
        }
    }
}

void worker::hold(task &started) {
    if (world_.result_.contains(started.name)) {
        exit_task(started, "done");
        return;
    }
    started.stage = "running";
    changed();
    world_.on_held(*this, started);
}

void worker::exit_task(task &ended, const std::string &cause) {
    ended.stage = "exited";
    ended.cause = cause;
    changed();
    world_.record(fmt::format("{}: {} try {} exited, {}", name, ended.name, ended.attempt, cause));
    if (cause != "done")
        return;
    world_.result_[ended.name] = world_.now();
    ended.of->done.insert(ended.index);
    if (ended.of->done.size() == ended.of->threads && !ended.of->complete_at)
        ended.of->complete_at = world_.now();
}

void worker::start_task(const std::string &thread, std::uint64_t attempt, const char *channel) {
    auto key = std::make_pair(thread, attempt);
    if (tasks.contains(key))
        return;
    task started;
    started.name = thread;
    started.attempt = attempt;
    auto slash = thread.rfind('/');
    auto known = world_.jobs.find(thread.substr(0, slash));
    started.index = static_cast<unsigned>(std::stoul(thread.substr(slash + 1)));
    std::string refused;
    if (known == world_.jobs.end() || !known->second.uploaded ||
        started.index >= known->second.threads) {
        refused = "no_such";
    } else {
        started.of = &known->second;
        double cores = started.of->cores, memory_gb = started.of->memory_gb;
        for (auto &[other, each] : tasks) {
            if (each.uses() && each.name == thread)
                refused = "in_use";
            if (each.uses()) {
                cores += each.of->cores;
                memory_gb += each.of->memory_gb;
            }
        }
        if (refused.empty() && (cores > type.cores + 1e-6 || memory_gb > type.memory_gb + 1e-6))
            refused = "no_room";
    }
    auto &kept = tasks[key] = started;
    world_.record(fmt::format("{}: start {} try {} in {} {}", name, thread, attempt, channel,
                              refused.empty() ? "" : "refused " + refused));
    if (started.of && started.of->cancelled_at && world_.now() > *started.of->cancelled_at) {
        ++world_.starts_after_cancel;
        world_.latest_start_after_cancel = world_.now() - *started.of->cancelled_at;
        world_.record(fmt::format("{}: start of {} received {:.3f} s after its user was told that "
                                  "the job is cancelled",
                                  name, thread, world_.now() - *started.of->cancelled_at));
    }
    if (!refused.empty()) {
        kept.stage = "exited";
        kept.cause = refused;
        changed();
        return;
    }
    auto image = std::string(started.of->body.at("bobbin").as_string());
    kept.run_left = started.of->run_s * world_.uniform(0.8, 1.2);
    if (started.index >= started.of->long_from)
        kept.run_left *= started.of->long_times;
    kept.stage = "pulling";
    kept.fetch_left = images_.contains(image) ? 0 : started.of->size_gb * world_.uniform(0.7, 1.3);
    changed();
}

void worker::stop_task(task &stopped, double slack) {
    if (stopped.stage == "exited")
        return;
    if (stopped.stage == "running" && stopped.of->knot_s > 0 && slack >= stopped.of->tie_s) {
        stopped.stage = "flushing";
        stopped.save_left = stopped.of->tie_s;
        changed();
        return;
    }
    if (stopped.stage == "flushing" && slack > 0)
        return;
    exit_task(stopped, "halted");
}

bool worker::execute(const json::object &message, const char *channel) {
    auto token = message.at("warrant").to_number<std::uint64_t>();
    if (token < warrant)
        return false;
    if (token > warrant && world_.now() - raised_at_ >= world_.conf.lease_s / 2) {
        raised_at_ = world_.now();
        changed();
    }
    warrant = token;
    const auto *orders = message.if_contains("orders");
    if (!orders || !orders->is_array())
        return true;
    for (const auto &order : orders->as_array()) {
        auto thread = std::string(order.at("thread").as_string());
        auto attempt = order.at("try").to_number<std::uint64_t>();
        auto verb = order.at("verb").as_string();
        auto found = tasks.find({thread, attempt});
        if (verb == "start")
            start_task(thread, attempt, channel);
        else if (found != tasks.end() && verb == "kill")
            stop_task(found->second, order.as_object().contains("slackS")
                                         ? order.at("slackS").to_number<double>()
                                         : 0);
        else if (found != tasks.end() && verb == "reap" && found->second.stage == "exited")
            tasks.erase(found);
    }
    return true;
}

awaitable<net::response> worker::answer(net::request message) {
    if (deaf || dead)
        co_await world_.sleep(20);
    bool held = message.target == "/commands" && world_.chance(late_commands);
    if (held)
        co_await world_.sleep(world_.uniform(2, 16));
    while (hung && !dead)
        co_await world_.sleep(tick_s);
    if (deaf || dead) {
        co_await world_.sleep(20);
        co_return say(503, json::object{});
    }
    if (message.target == "/inspect")
        co_return net::response{200, status(), 0, false};
    auto received = json::parse(message.body).as_object();
    if (!received.contains("warrant") || !received.contains("shift"))
        co_return say(400, json::object{{"error", "warrant or shift is missing"}});
    bool matches = received.at("shift").to_number<std::uint64_t>() == shift;
    bool executed = matches && execute(received, held ? "late direct command" : "direct command");
    if (held)
        co_await world_.sleep(20);
    co_return net::response{executed ? 200 : 409, status(), 0, false};
}

} // namespace review
