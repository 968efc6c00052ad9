// Simulated surroundings of controllers on loopback, as PROTOCOL describes them: the key-value
// store, users and a worker; and a cluster of three controllers in this process. Tests run in real
// time for a few seconds; their time limits are generous so that a busy machine only makes them
// slower.
#pragma once
#include "builders.hpp"
#include "constants.hpp"
#include "control/controller.hpp"
#include "loopback_ports.hpp"
#include "net/http.hpp"
#include "wire/codec.hpp"
#include <boost/json.hpp>
#include <fmt/format.h>
#include <functional>
#include <map>

namespace spindlecroft::test {

namespace json = boost::json;
using net::awaitable;

// The key-value store with its keys, revisions, leases and watches. Each controller has a server of
// its own, so that a test can refuse the requests of a single controller.
struct state_service {
    struct kept {
        json::value data;
        std::uint64_t mark = 0, loan = 0;
    };
    struct change {
        std::uint64_t mark;
        std::string key;
        std::optional<json::value> data;
    };
    net::asio::io_context &io;
    std::map<std::string, kept> keys;
    std::vector<change> changes;
    std::map<std::uint64_t, std::pair<seconds, time_point>> loans; // duration and end of each lease
    std::uint64_t ledger = 100, loan_count = 0;
    bool outage = false;
    std::size_t ended_reads = 0; // number of reads of a single job's ended record
    std::vector<bool> refused = std::vector<bool>(3);
    std::vector<std::unique_ptr<net::server>> doors;

    explicit state_service(net::asio::io_context &c) : io(c) {}

    settings::address open_door(std::size_t node) {
        auto at = free_address();
        doors.push_back(std::make_unique<net::server>(
            io, at, [this, node](net::request message) { return answer(node, std::move(message)); },
            net::server_limits{}, "state"));
        doors.back()->start();
        return at;
    }

    void set_outage(bool on) {
        if (outage && !on) // after an outage every lease starts again with its full duration
            for (auto &[id, lease] : loans)
                lease.second = net::steady_now() + lease.first;
        outage = on;
    }

    void put(const std::string &key, json::value data, std::uint64_t loan) {
        changes.push_back({ledger, key, data});
        keys[key] = {std::move(data), ledger, loan};
    }
    void drop(const std::string &key) {
        if (keys.erase(key))
            changes.push_back({ledger, key, std::nullopt});
    }
    void end_loan(std::uint64_t id) {
        loans.erase(id);
        std::vector<std::string> expired_keys;
        for (auto &[key, entry] : keys)
            if (entry.loan == id)
                expired_keys.push_back(key);
        if (!expired_keys.empty())
            ++ledger;
        for (auto &key : expired_keys)
            drop(key);
    }
    void expire() {
        if (outage)
            return;
        std::vector<std::uint64_t> expired;
        for (auto &[id, lease] : loans)
            if (net::steady_now() > lease.second)
                expired.push_back(id);
        for (auto id : expired)
            end_loan(id);
    }

    static std::map<std::string, std::string> query(const std::string &target) {
        std::map<std::string, std::string> parameters;
        auto from = target.find('?');
        while (from != std::string::npos) {
            auto to = target.find('&', from + 1);
            auto part = target.substr(from + 1, to == std::string::npos ? to : to - from - 1);
            auto equals_sign = part.find('=');
            parameters[part.substr(0, equals_sign)] = part.substr(equals_sign + 1);
            from = to;
        }
        return parameters;
    }

    net::response say(int status, const json::object &body) const {
        return {status, json::serialize(body), 0, false};
    }

    awaitable<net::response> answer(std::size_t node, net::request message) {
        expire();
        auto path = message.target.substr(0, message.target.find('?'));
        auto parameters = query(message.target);
        if (path == "/watch")
            co_return co_await watch(node, parameters);
        if (outage || refused[node])
            co_return say(503, {{"error", "trouble"}});
        if (path == "/kv") {
            json::array items;
            for (auto &[key, entry] : keys)
                if (key.starts_with(parameters["starts"]) && key > parameters["since"])
                    items.push_back({{"key", key}, {"data", entry.data}, {"mark", entry.mark}});
            co_return say(200, {{"items", items}, {"more", false}, {"ledger", ledger}});
        }
        if (path.starts_with("/kv/")) {
            auto found = keys.find(path.substr(4));
            ended_reads += path.starts_with("/kv/j/e/");
            if (found == keys.end())
                co_return say(404, {{"ledger", ledger}});
            json::object body{
                {"key", found->first}, {"data", found->second.data}, {"mark", found->second.mark}};
            if (found->second.loan)
                body["loan"] = found->second.loan;
            co_return say(200, body);
        }
        if (path == "/commit")
            co_return commit(json::parse(message.body).as_object());
        if (path == "/leases") {
            seconds duration{json::parse(message.body).at("ttlMs").to_number<double>() / 1000};
            loans[++loan_count] = {duration, net::steady_now() + duration};
            co_return say(200, {{"loan", loan_count}});
        }
        auto id = std::stoull(path.substr(8)); // /leases/{id}...
        if (!loans.count(id))
            co_return say(404, {});
        if (message.method == "DELETE")
            end_loan(id);
        else
            loans[id].second = net::steady_now() + loans[id].first;
        co_return say(200, {});
    }

    net::response commit(const json::object &transaction) {
        json::array failed;
        if (auto *when = transaction.if_contains("when"))
            for (auto &condition : when->as_array()) {
                auto key = std::string(condition.at("key").as_string());
                auto found = keys.find(key);
                if ((found == keys.end() ? 0 : found->second.mark) !=
                    condition.at("mark").to_number<std::uint64_t>())
                    failed.push_back(json::string(key));
            }
        if (!failed.empty())
            return say(409, {{"failed", failed}, {"ledger", ledger}});
        ++ledger;
        for (auto &operation : transaction.at("apply").as_array()) {
            auto &fields = operation.as_object();
            if (auto *key = fields.if_contains("drop")) {
                drop(std::string(key->as_string()));
                continue;
            }
            auto *loan = fields.if_contains("loan");
            put(std::string(fields.at("write").as_string()), fields.at("data"),
                loan ? loan->to_number<std::uint64_t>() : 0);
        }
        return say(200, {{"ledger", ledger}});
    }

    json::array changes_since(std::uint64_t since, const std::string &prefix) const {
        json::array news;
        for (auto &change : changes) {
            if (change.mark <= since || !change.key.starts_with(prefix))
                continue;
            json::object entry{{change.data ? "write" : "drop", change.key}, {"mark", change.mark}};
            if (change.data)
                entry["data"] = *change.data;
            news.push_back(entry);
        }
        return news;
    }

    awaitable<net::response> watch(std::size_t node,
                                   std::map<std::string, std::string> parameters) {
        auto since = std::stoull(parameters["since"]);
        seconds hold{std::stod(parameters.count("holdMs") ? parameters["holdMs"] : "0") / 1000};
        auto hold_end = net::steady_now() + hold;
        if ((outage || refused[node]) && net::steady_now() >= hold_end)
            co_return say(503, {{"error", "trouble"}});
        for (;;) {
            expire();
            if (!outage && !refused[node]) {
                auto new_changes = changes_since(since, parameters["starts"]);
                if (!new_changes.empty() || net::steady_now() >= hold_end)
                    co_return say(200, {{"ledger", ledger}, {"news", new_changes}});
            }
            co_await net::sleep_for(20ms);
        }
    }
};

inline const char *machine_types =
    R"({"frames":[{"name":"small","cores":4,"gpus":0,"memGb":16,"localGb":40,"pullGbPerS":0.5,)"
    R"("hourly":1.0,"marketPrice":0.4,"startupS":20,"crofts":["a"]}]})";

inline std::string submission(const std::string &id, double cores = 4,
                              const std::string &team = "blue", const std::string &awaits = "null",
                              const std::string &shape = "array") {
    return fmt::format(
        R"({{"uid":"{0}","lot":"batch","crew":"{1}","shape":"{2}","rank":"standard","threads":1,)"
        R"("cores":{3},"gpus":0,"memGb":{3},"frames":null,"croft":null,"samePlace":false,)"
        R"("scatter":false,"loaners":true,"bobbin":"img","sizeGb":1,"reckonS":600,"knotS":0,)"
        R"("tieS":0,"dueS":null,"awaits":{4}}})",
        id, team, shape, cores, awaits);
}

// The settings and surroundings of three controllers, which run in this process or in others.
struct controllers {
    net::asio::io_context io;
    state_service state{io};
    std::vector<settings::settings> conf;

    explicit controllers(bool types_known = true) {
        if (types_known)
            state.put("c/types", json::parse(machine_types), 0);
        auto cloud = free_address(); // no server listens at this address
        for (int index = 0; index < 3; ++index) {
            auto local = test::small_settings();
            local.node = fmt::format("n{}", index);
            local.api_address = free_address();
            local.peer_address = free_address();
            local.cloud_address = cloud;
            local.key_value_address = state.open_door(static_cast<std::size_t>(index));
            conf.push_back(local);
        }
        for (auto &local : conf)
            for (auto &other : conf)
                if (other.node != local.node)
                    local.peers.push_back({other.node, "a", other.peer_address});
    }
    virtual ~controllers() = default;

    void close() {
        for (auto &door : state.doors)
            door->stop();
        io.run_for(100ms);
    }

    void run(seconds length) { io.run_for(net::timer_ticks(length)); }

    net::reply call(std::size_t node, const std::string &method, const std::string &target,
                    const std::string &body) {
        net::client client(io, conf[node].api_address, 1);
        net::reply answer;
        bool done = false;
        // A variable, because a coroutine does not keep its lambda alive.
        auto request = [&]() -> awaitable<void> {
            answer = co_await client.call(method, target, body, 6s);
            done = true;
        };
        net::spawn(io, request(), "user");
        while (!done)
            io.run_one_for(100ms);
        return answer;
    }
    int submit(std::size_t node, const std::string &body) {
        return call(node, "POST", "/submissions", body).status;
    }
    // Returns the HTTP status, followed by the job's stage if the status is 200.
    std::string poll(std::size_t node, const std::string &id) {
        return shown(call(node, "GET", "/submissions/" + id, ""));
    }
    std::string cancel(std::size_t node, const std::string &id) {
        return shown(call(node, "POST", "/submissions/" + id + "/abort", ""));
    }
    static std::string shown(const net::reply &answer) {
        if (answer.status != 200)
            return std::to_string(answer.status);
        return "200 " + std::string(json::parse(answer.body).at("stage").as_string());
    }
    bool until(const std::function<bool()> &condition, seconds time_limit = 30s) {
        auto limit = net::steady_now() + time_limit;
        while (!condition() && net::steady_now() < limit)
            run(100ms);
        return condition();
    }
    bool ready() {
        return until([&] {
            for (std::size_t node = 0; node < 3; ++node)
                if (call(node, "GET", "/ready", "").status != 200)
                    return false;
            return true;
        });
    }
};

struct cluster : controllers {
    std::vector<std::unique_ptr<control::controller>> nodes;

    explicit cluster(bool types_known = true) : controllers(types_known) {
        for (auto &local : conf) {
            nodes.push_back(std::make_unique<control::controller>(io, local));
            nodes.back()->start();
        }
    }
    cluster(const cluster &) = delete;
    cluster &operator=(const cluster &) = delete;
    // NOLINTNEXTLINE(bugprone-exception-escape): a throw here may end the test program
    ~cluster() override {
        for (auto &node : nodes)
            node->stop();
        close();
    }
};

// A worker that sends heartbeats to the leader, which it finds by trying the nodes in turn, and
// executes the commands in the answers.
struct reporting_worker {
    explicit reporting_worker(controllers &around, std::string machine = "i-000001")
        : c(around), name(std::move(machine)) {}
    controllers &c;
    std::string name;
    std::string address = "127.0.0.1:1"; // no server listens there
    std::size_t node = 0;
    std::uint64_t tally = 0, warrant = 0;
    struct task {
        std::string state = "running", cause;
    };
    std::map<std::pair<std::string, std::uint64_t>, task> tasks; // by task name and attempt
    int answers = 0;
    std::vector<std::string> started; // task names in order of their starts
    // Tasks that were started while another attempt of them was running.
    std::vector<std::string> started_twice;

    std::string make_heartbeat() {
        json::array threads;
        for (auto &[key, present] : tasks) {
            json::object entry{
                {"thread", key.first}, {"try", key.second}, {"stage", present.state}};
            if (present.state == "exited")
                entry["cause"] = present.cause;
            threads.push_back(entry);
        }
        return json::serialize(json::object{{"spindle", name},
                                            {"address", address},
                                            {"frame", "small"},
                                            {"croft", "a"},
                                            {"loaners", true},
                                            {"shift", 1},
                                            {"tally", ++tally},
                                            {"warrant", warrant},
                                            {"recallS", nullptr},
                                            {"threads", threads}});
    }

    // Sends one heartbeat. Returns true if a node answered it with a fencing token that is not
    // older than the newest one seen.
    bool report() {
        auto answer = c.call(node, "POST", "/checkin", make_heartbeat());
        if (answer.status != 200) {
            node = (node + 1) % 3;
            return false;
        }
        if (!execute(json::parse(answer.body).as_object()))
            return false;
        ++answers;
        return true;
    }

    // Executes the commands of an answer or a direct command. Returns false without executing any
    // if its fencing token is older than the newest one seen.
    bool execute(const json::object &message) {
        auto token = message.at("warrant").to_number<std::uint64_t>();
        if (token < warrant)
            return false;
        warrant = token;
        for (auto &command : message.at("orders").as_array()) {
            auto key = std::make_pair(std::string(command.at("thread").as_string()),
                                      command.at("try").to_number<std::uint64_t>());
            auto verb = command.at("verb").as_string();
            if (verb == "start")
                start(key);
            else if (verb == "kill" && tasks.count(key))
                tasks[key] = {"exited", "halted"};
            else if (verb == "reap")
                tasks.erase(key);
        }
        return true;
    }
    void start(const std::pair<std::string, std::uint64_t> &key) {
        if (tasks.count(key))
            return;
        for (auto &[other, present] : tasks)
            if (other.first == key.first && present.state == "running")
                started_twice.push_back(key.first);
        started.push_back(key.first);
        tasks[key] = {};
    }
    bool runs(const std::string &job) const {
        for (auto &[key, present] : tasks)
            if (key.first == job + "/0" && present.state == "running")
                return true;
        return false;
    }
    // Ends the running task of the job, as done if no other cause is given.
    void finish(const std::string &job, const std::string &cause = "done") {
        for (auto &[key, present] : tasks)
            if (key.first == job + "/0" && present.state == "running")
                present = {"exited", cause};
    }
};

// A worker that also executes direct commands, and keeps them so that a test can repeat one.
struct directly_commanded_worker : reporting_worker {
    directly_commanded_worker(controllers &around, std::string machine)
        : reporting_worker(around, std::move(machine)), at(free_address()),
          server(
              around.io, at, [this](net::request received) { return answer(std::move(received)); },
              net::server_limits{}, "worker") {
        address = fmt::format("{}:{}", at.host, at.port);
        server.start();
    }
    directly_commanded_worker(const directly_commanded_worker &) = delete;
    directly_commanded_worker &operator=(const directly_commanded_worker &) = delete;
    // NOLINTNEXTLINE(bugprone-exception-escape): a throw here may end the test program
    ~directly_commanded_worker() { server.stop(); }

    settings::address at;
    net::server server;
    std::vector<std::string> executed_commands; // bodies of the direct commands, in order

    // Returns the direct command that started the task, or an empty string.
    std::string command_that_started(const std::string &task) const {
        auto start = fmt::format(R"("verb":"start","thread":"{}")", task);
        for (auto &body : executed_commands)
            if (body.find(start) != std::string::npos)
                return body;
        return "";
    }

    // Sends a copy of a direct command to this worker, as the network may do at any time. Returns
    // the status of the answer.
    int repeat(const std::string &command) {
        net::client network(c.io, at, 1);
        net::reply reply;
        bool is_done = false;
        auto request = [&]() -> awaitable<void> {
            reply = co_await network.call("POST", "/commands", command, 5s);
            is_done = true;
        };
        net::spawn(c.io, request(), "late copy");
        c.until([&] { return is_done; }, 6s);
        return reply.status;
    }

  private:
    awaitable<net::response> answer(net::request received) {
        bool is_accepted = execute(json::parse(received.body).as_object());
        if (is_accepted)
            executed_commands.push_back(received.body);
        co_return net::response{is_accepted ? 200 : 409, make_heartbeat(), 0, false};
    }
};

} // namespace spindlecroft::test
