// Controllers as processes, links between them, users and the rules.
#include "world.hpp"
#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace review {

namespace fs = std::filesystem;

namespace {

std::string text_of(const address &at) {
    return fmt::format("{}:{}", at.host, at.port);
}

// The words of the line `run` of the deploy file.
std::vector<std::string> deploy_command(const std::string &root) {
    std::ifstream file(root + "/deploy/service.toml");
    std::string line;
    while (std::getline(file, line)) {
        if (!line.starts_with("run"))
            continue;
        auto from = line.find('"');
        std::istringstream words(line.substr(from + 1, line.rfind('"') - from - 1));
        std::vector<std::string> command;
        for (std::string word; words >> word;)
            command.push_back(word);
        return command;
    }
    throw std::runtime_error("no line `run` in the deploy file");
}

// The controllers that run, for the handler of SIGTERM.
std::array<volatile pid_t, 8> running_pids{};

void end_controllers(int) {
    for (auto pid : running_pids)
        if (pid > 0)
            ::kill(pid, SIGKILL);
    _exit(2);
}

std::string variable(const char *name, const std::string &fallback) {
    const char *value = std::getenv(name);
    return value ? value : fallback;
}

} // namespace

world::world(deployment settings, std::string case_folder)
    : conf(std::move(settings)), state(*this), machines_api(*this),
      random(static_cast<unsigned>(
          std::stoul(variable("SEED", std::to_string(std::random_device()()))))),
      folder_(std::move(case_folder)), root_(fs::current_path()),
      record_(folder_ + "/" + variable("RECORD", "record.txt")),
      began_(std::chrono::steady_clock::now()) {
    command_ = deploy_command(root_);
    std::signal(SIGTERM, end_controllers);
    std::signal(SIGINT, end_controllers);
    auto pid = static_cast<unsigned>(::getpid());
    host_ =
        fmt::format("127.{}.{}.{}", 1 + (pid >> 15U) % 250, (pid >> 7U) % 250, 1 + (pid & 127U));
    temporary_ = fs::temp_directory_path() / fmt::format("spindlecroft-review-{}", pid);
    fs::create_directories(temporary_);
    auto nodes = static_cast<std::size_t>(conf.nodes);
    auto serve = [&](net::handler handle, const char *name) {
        auto at = free_address();
        servers_.push_back(std::make_unique<net::server>(
            io, at, std::move(handle),
            net::server_limits{4000, spindlecroft::seconds{1000}, spindlecroft::seconds{90}},
            name));
        servers_.back()->start();
        return at;
    };
    for (std::size_t node = 0; node < nodes; ++node) {
        api_.push_back(free_address());
        back_.push_back(free_address());
        state_at_.push_back(serve(
            [this, node](net::request message) { return state.answer(node, std::move(message)); },
            "state"));
        cloud_at_.push_back(
            serve([this](net::request message) { return machines_api.answer(std::move(message)); },
                  "cloud"));
        clients_.push_back(std::make_unique<net::client>(io, api_[node], 32));
    }
    for (std::size_t from = 0; from < nodes; ++from)
        for (std::size_t to = 0; to < nodes; ++to) {
            if (from == to)
                continue;
            auto made = std::make_unique<link>();
            made->client = std::make_unique<net::client>(io, back_[to], 4);
            links_[{from, to}] = std::move(made);
        }
    pids_.assign(nodes, 0);
    stopped_.assign(nodes, false);
    record(fmt::format("lease {} s, cancel {} s, trouble {}", conf.lease_s, conf.cancel_s,
                       with_trouble() ? "on" : "off"));
    for (std::size_t node = 0; node < nodes; ++node)
        write_settings(node);
    spawn(run_checks());
}

world::~world() {
    for (std::size_t node = 0; node < pids_.size(); ++node)
        kill_node(node);
    std::error_code ignored;
    fs::remove_all(temporary_, ignored);
}

double world::now() const {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - began_).count();
}

void world::record(const std::string &line) {
    record_ << fmt::format("{:8.3f} {}\n", now(), line) << std::flush;
}

void world::run(double seconds) {
    io.run_for(net::timer_ticks(spindlecroft::seconds{seconds}));
}

bool world::until(const std::function<bool()> &condition, double limit_s) {
    auto limit = now() + limit_s;
    while (!condition() && now() < limit)
        run(0.02);
    return condition();
}

double world::uniform(double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(random);
}

// A port that is free on a loopback address that only this process uses. None is given out twice,
// since most are bound later, by the controllers.
address world::free_address() {
    for (;;) {
        int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        ::inet_pton(AF_INET, host_.c_str(), &at.sin_addr);
        socklen_t size = sizeof at;
        bool bound = ::bind(handle, reinterpret_cast<sockaddr *>(&at), size) == 0 &&
                     ::getsockname(handle, reinterpret_cast<sockaddr *>(&at), &size) == 0;
        ::close(handle);
        if (!bound)
            throw std::runtime_error("no free port");
        if (given_ports_.insert(ntohs(at.sin_port)).second)
            return {host_, ntohs(at.sin_port)};
    }
}

// --- controllers ---

void world::write_settings(std::size_t node) {
    std::ofstream out(fmt::format("{}/{}.toml", temporary_, node));
    auto zone = [&](std::size_t of) { return conf.zones[of % conf.zones.size()]; };
    out << fmt::format("member = \"spindle-{}\"\nlocation = \"{}\"\napi_addr = \"{}\"\n"
                       "back = \"{}\"\n",
                       node, zone(node), text_of(api_[node]), text_of(back_[node]));
    for (auto &[ends, made] : links_) {
        if (ends.first != node)
            continue;
        auto at = free_address();
        auto *through = made.get();
        made->server = std::make_unique<net::server>(
            io, at,
            [this, through](net::request message) -> awaitable<net::response> {
                while (through->state == link::mode::hold)
                    co_await sleep(0.01);
                net::response answer{503, "", 0, false, true};
                if (through->state == link::mode::drop) {
                    co_await sleep(30);
                    co_return answer;
                }
                auto reply = co_await through->client->call(
                    message.method, message.target, message.body, spindlecroft::seconds{60}, true);
                if (reply.outcome == net::call_outcome::answered)
                    answer = {reply.status, reply.body, 0, true};
                while (through->state == link::mode::hold)
                    co_await sleep(0.01);
                co_return answer;
            },
            net::server_limits{1000, spindlecroft::seconds{1000}, spindlecroft::seconds{90}},
            "link");
        made->server->start();
        out << fmt::format("[[members]]\nmember = \"spindle-{}\"\nlocation = \"{}\"\n"
                           "addr = \"{}\"\n",
                           ends.second, zone(ends.second), text_of(at));
    }
    std::string zones;
    for (const auto &each : conf.zones)
        zones += (zones.empty() ? "\"" : ", \"") + each + "\"";
    out << fmt::format("[services]\ncloud = \"{}\"\nstate = \"{}\"\n[cluster]\ncount = {}\n"
                       "zones = [{}]\ntime_bound_ms = {:.1f}\n",
                       text_of(cloud_at_[node]), text_of(state_at_[node]), conf.nodes, zones,
                       conf.time_bound_ms);
    for (const auto &team : conf.teams)
        out << fmt::format("[[cluster.teams]]\nname = \"{}\"\ncpus = {:.1f}\ncpus_max = {:.1f}\n"
                           "gpus = 0.0\ngpus_max = 0.0\n",
                           team.name, team.cores, team.cores_max);
    out << fmt::format("[cluster.workers]\nreport_s = {:.1f}\nlease_s = {:.1f}\n"
                       "gang_wait_s = 45.0\ngang_peer_s = 6.0\ncancel_s = {:.1f}\n",
                       conf.report_s, conf.lease_s, conf.cancel_s);
    out << fmt::format("[cluster.state]\nrps = {:.1f}\nwrite_rps = {:.1f}\nvalue_kb = {:.1f}\n"
                       "txn_ops = {}\n[cluster.cloud]\nrps = {:.1f}\nlist_lag_s = {:.1f}\n",
                       conf.state_rps, conf.state_write_rps, conf.value_kb, conf.txn_ops,
                       conf.cloud_rps, conf.list_lag_s);
    out << fmt::format("[cluster.machine_limits]\ncore_share = 0.08\nram_mb = 72.0\n"
                       "max_connections = {}\n",
                       conf.max_connections);
}

void world::start_node(std::size_t node) {
    if (pids_[node] > 0)
        return;
    auto words = command_;
    if (auto other = variable("PROGRAM", ""); !other.empty())
        words[0] = other;
    words.push_back(fmt::format("{}/{}.toml", temporary_, node));
    std::vector<char *> arguments;
    arguments.reserve(words.size() + 1);
    for (auto &word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    auto log = fmt::format("{}/{}.log", variable("LOGS", temporary_), node);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    int failed =
        posix_spawn(&pids_[node], words[0].c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        pids_[node] = 0;
        throw std::runtime_error("can't start " + words[0]);
    }
    running_pids.at(node) = pids_[node];
    started_at_.at(node) = now();
    record(fmt::format("controller {} started", node));
}

void world::kill_node(std::size_t node) {
    if (pids_[node] <= 0)
        return;
    ::kill(pids_[node], SIGKILL);
    ::waitpid(pids_[node], nullptr, 0);
    pids_[node] = 0;
    running_pids.at(node) = 0;
    stopped_[node] = false;
    record(fmt::format("controller {} killed", node));
}

void world::stop_node(std::size_t node) {
    if (pids_[node] <= 0)
        return;
    ::kill(pids_[node], SIGSTOP);
    stopped_[node] = true;
    record(fmt::format("controller {} stands still", node));
}

void world::continue_node(std::size_t node) {
    if (pids_[node] <= 0)
        return;
    ::kill(pids_[node], SIGCONT);
    stopped_[node] = false;
    record(fmt::format("controller {} goes on", node));
}

bool world::ended_by_itself(std::size_t node) {
    if (pids_[node] <= 0)
        return false;
    int how = 0;
    if (::waitpid(pids_[node], &how, WNOHANG) != pids_[node])
        return false;
    pids_[node] = 0;
    running_pids.at(node) = 0;
    auto what = fmt::format("controller {} ended by itself, status {}", node, how);
    if (now() < started_at_.at(node) + 2) {
        record(what + " at its start");
        could_not_start = true;
    } else {
        broken("crash", what);
    }
    return true;
}

std::optional<std::size_t> world::leading() {
    auto name = state.leader();
    if (!name.starts_with("spindle-"))
        return std::nullopt;
    return std::stoul(name.substr(8));
}

bool world::all_ready(double limit_s) {
    return until(
        [&] {
            for (std::size_t node = 0; node < pids_.size(); ++node)
                if (running(node) && call_now(node, "GET", "/ready", "", 1).status != 200)
                    return false;
            return leading().has_value();
        },
        limit_s);
}

std::size_t world::any_node() {
    std::vector<std::size_t> up;
    for (std::size_t node = 0; node < pids_.size(); ++node)
        if (pids_[node] > 0 && !stopped_[node])
            up.push_back(node);
    if (up.empty())
        return 0;
    return up[std::uniform_int_distribution<std::size_t>(0, up.size() - 1)(random)];
}

// --- users ---

awaitable<net::reply> world::call(std::size_t node, std::string method, std::string target,
                                  std::string body, double limit_s) {
    co_return co_await clients_.at(node)->call(std::move(method), std::move(target),
                                               std::move(body), spindlecroft::seconds{limit_s});
}

net::reply world::call_now(std::size_t node, const std::string &method, const std::string &target,
                           const std::string &body, double limit_s) {
    net::reply answer;
    bool done = false;
    auto ask = [&]() -> awaitable<void> {
        answer = co_await call(node, method, target, body, limit_s);
        done = true;
    };
    net::spawn(io, ask(), "user");
    while (!done)
        io.run_one_for(std::chrono::milliseconds(20));
    return answer;
}

job &world::make_job(const std::string &uid, const json::object &changes, double run_s) {
    json::object body{{"uid", uid},
                      {"lot", "campaign-load"},
                      {"crew", "plataforma-1"},
                      {"shape", "array"},
                      {"rank", "urgent"},
                      {"threads", 1},
                      {"cores", 4.0},
                      {"gpus", 0.0},
                      {"memGb", 7.0},
                      {"bobbin", "img-1"},
                      {"sizeGb", 0.3},
                      {"frames", nullptr},
                      {"croft", nullptr},
                      {"samePlace", false},
                      {"scatter", false},
                      {"loaners", true},
                      {"reckonS", run_s},
                      {"knotS", 0.0},
                      {"tieS", 0.0},
                      {"dueS", nullptr}};
    for (const auto &[name, value] : changes)
        body[name] = value;
    auto &made = jobs[uid];
    made.uid = uid;
    made.body = body;
    made.crew = std::string(body.at("crew").as_string());
    made.is_array = body.at("shape").as_string() == "array";
    made.same_place = body.at("samePlace").as_bool();
    made.scatter = body.at("scatter").as_bool();
    made.loaners = body.at("loaners").as_bool();
    if (body.at("croft").is_string())
        made.croft = std::string(body.at("croft").as_string());
    if (body.at("frames").is_array()) {
        made.frames.emplace();
        for (auto &frame : body.at("frames").as_array())
            made.frames->emplace_back(frame.as_string());
    }
    if (const auto *awaits = body.if_contains("awaits"); awaits && awaits->is_array())
        for (const auto &each : awaits->as_array())
            made.awaits.emplace_back(each.as_string());
    made.threads = body.at("threads").to_number<unsigned>();
    made.cores = body.at("cores").to_number<double>();
    made.memory_gb = body.at("memGb").to_number<double>();
    made.size_gb = body.at("sizeGb").to_number<double>();
    made.knot_s = body.at("knotS").to_number<double>();
    made.tie_s = body.at("tieS").to_number<double>();
    made.run_s = run_s;
    return made;
}

void world::note_answer(job &asked, double asked_at, std::size_t node, const net::reply &answer,
                        const char *question) {
    std::string stage;
    if (answer.status == 200 || answer.status == 201) {
        boost::system::error_code ec;
        auto body = json::parse(answer.body, ec);
        if (!ec && body.is_object() && body.as_object().contains("stage"))
            stage = std::string(body.at("stage").as_string());
    }
    record(fmt::format("{} {} at {}, asked at {:.3f}: {} {}", question, asked.uid, node, asked_at,
                       answer.status, stage));
    bool accepted = asked.accepted_at && *asked.accepted_at < asked_at;
    if (accepted && answer.status == 404)
        broken("forgotten", asked.uid + " was accepted and is answered 404");
    if (accepted && (answer.status == 400 || answer.status == 422))
        broken("forgotten",
               fmt::format("a repeated submission of {} is answered {}", asked.uid, answer.status));
    if (stage.empty())
        return;
    asked.last_answer_at = now();
    bool was_cancelled = asked.cancelled_at && *asked.cancelled_at < asked_at;
    bool was_done = asked.done_at && *asked.done_at < asked_at;
    if ((was_cancelled && stage != "aborted") || (was_done && stage != "done"))
        broken("went_back", fmt::format("{} was called {} and is called {}", asked.uid,
                                        was_done ? "done" : "aborted", stage));
    if (!asked.accepted_at && !std::string(question).starts_with("cancel"))
        asked.accepted_at = now();
    if (stage == "done") {
        if (!asked.complete_at)
            broken("not_done", fmt::format("{} is called done with {} of {} tasks done", asked.uid,
                                           asked.done.size(), asked.threads));
        if (!asked.done_at)
            asked.done_at = now();
    }
    std::set<std::string> seen;
    std::vector<std::string> open{asked.uid};
    bool asked_for = false;
    std::optional<double> before_cancelled;
    while (!open.empty()) {
        auto &each = jobs.at(open.back());
        open.pop_back();
        if (!seen.insert(each.uid).second)
            continue;
        asked_for = asked_for || each.cancel_asked_at;
        if (each.cancelled_at && &each != &asked)
            before_cancelled = std::min(before_cancelled.value_or(1e9), *each.cancelled_at);
        open.insert(open.end(), each.awaits.begin(), each.awaits.end());
    }
    if (stage == "aborted") {
        if (!asked_for)
            broken("went_back", asked.uid + " is called cancelled without its user's request");
        if (!asked.cancelled_at)
            asked.cancelled_at = now();
    } else if (stage != "done" && before_cancelled &&
               asked_at > *before_cancelled + conf.cancel_s) {
        broken("orphaned", asked.uid + " is called " + stage);
    }
}

awaitable<void> world::submit(job *submitted, int node) {
    submitted->first_asked_at = now();
    auto body = json::serialize(submitted->body);
    while (now() < *submitted->first_asked_at + 60) {
        auto to = node >= 0 ? static_cast<std::size_t>(node) : any_node();
        auto asked_at = now();
        auto answer = co_await call(to, "POST", "/submissions", body, 5);
        note_answer(*submitted, asked_at, to, answer, "submit");
        if (answer.status == 200 || answer.status == 201 || answer.status == 400 ||
            answer.status == 422)
            co_return;
        co_await sleep(1);
    }
}

awaitable<void> world::cancel(job *cancelled, int node) {
    cancelled->cancel_asked_at = now();
    for (;;) {
        auto to = node >= 0 ? static_cast<std::size_t>(node) : any_node();
        auto asked_at = now();
        auto answer = co_await call(to, "POST", "/submissions/" + cancelled->uid + "/abort", "", 5);
        note_answer(*cancelled, asked_at, to, answer, "cancel");
        if (answer.status == 200)
            co_return;
        co_await sleep(1);
    }
}

awaitable<void> world::poll(job *asked, std::size_t node) {
    auto asked_at = now();
    auto answer = co_await call(node, "GET", "/submissions/" + asked->uid, "", 2);
    note_answer(*asked, asked_at, node, answer, "poll");
}

awaitable<void> world::follow(job *asked) {
    co_await submit(asked);
    while (asked->accepted_at && !asked->done_at && !asked->cancelled_at) {
        co_await sleep(uniform(4, 6));
        co_await poll(asked, any_node());
    }
}

// --- rules ---

void world::broken(const std::string &rule, const std::string &what) {
    broken_rules.emplace_back(rule, what);
    record("BROKEN " + rule + ": " + what);
}

void world::on_held(worker &host, task &held) {
    ++started;
    auto &of = *held.of;
    record(fmt::format("{}: {} try {} is on the machine", host.name, held.name, held.attempt));
    double cores = 0;
    unsigned in_zone = 0;
    for (auto &[name, other] : workers) {
        if (other->dead)
            continue;
        for (auto &[key, each] : other->tasks) {
            if (!each.holds())
                continue;
            if (each.of->crew == of.crew)
                cores += each.of->cores;
            if (each.of != &of)
                continue;
            if (&each != &held && each.name == held.name)
                broken("ran_twice", fmt::format("{} starts on {} while it is on {}", held.name,
                                                host.name, name));
            in_zone += other->zone == host.zone;
            if (of.same_place && other->zone != host.zone)
                broken("wrong_place", held.name + " starts in another zone than its job's tasks");
        }
    }
    for (const auto &team : conf.teams)
        if (team.name == of.crew && team.cores_max > 0 && cores > team.cores_max + 1e-6)
            broken("quota", fmt::format("{} uses {} cores", of.crew, cores));
    if (of.scatter && in_zone > (of.threads + 1) / 2)
        broken("wrong_place", held.name + " starts in a zone with more than half of the tasks");
    if (of.croft && *of.croft != host.zone)
        broken("wrong_place", held.name + " starts in a zone that is not allowed");
    if (host.spot && !of.loaners)
        broken("wrong_place", held.name + " starts on a spot machine");
    if (of.frames &&
        std::find(of.frames->begin(), of.frames->end(), host.type.name) == of.frames->end())
        broken("wrong_place", held.name + " starts on a type that is not allowed");
    for (const auto &before : of.awaits)
        if (!jobs.at(before).complete_at)
            broken("too_early", held.name + " starts before " + before + " is done");
}

void world::check_clock() {
    for (auto &[name, host] : workers) {
        if (host->dead)
            continue;
        for (auto &[key, each] : host->tasks)
            if (each.holds() && each.of->cancelled_at &&
                now() > *each.of->cancelled_at + conf.cancel_s) {
                broken("ran_cancelled",
                       fmt::format("{} is on {} {:.1f} s after its user was told", each.name, name,
                                   now() - *each.of->cancelled_at));
                each.of->cancelled_at = now(); // reported once
            }
    }
}

awaitable<void> world::run_checks() {
    for (;;) {
        co_await sleep(0.05);
        check_clock();
        for (std::size_t node = 0; node < pids_.size(); ++node)
            ended_by_itself(node);
    }
}

} // namespace review
