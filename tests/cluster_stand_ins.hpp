// Stand-ins for what surrounds controllers on loopback: the key-value store, users and a worker by
// PROTOCOL, and a cluster of three controllers in this process. Real time, a few seconds; limits
// are generous so that a busy machine only makes it slower.
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

// Keys, revisions, leases and watches of the key-value store. Each controller has a door of its
// own, so that one can be refused alone.
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
    std::map<std::uint64_t, std::pair<seconds, time_point>> loans; // length, end
    std::uint64_t ledger = 100, loan_count = 0;
    bool outage = false;
    std::size_t ended_reads = 0; // of single jobs' ended records
    std::vector<bool> refused = std::vector<bool>(3);
    std::vector<std::unique_ptr<net::server>> doors;

    explicit state_service(net::asio::io_context &c) : io(c) {}

    settings::address open_door(std::size_t node) {
        auto at = free_address();
        doors.push_back(std::make_unique<net::server>(
            io, at, [this, node](net::request r) { return answer(node, std::move(r)); },
            net::server_limits{}, "state"));
        doors.back()->start();
        return at;
    }

    void set_outage(bool on) {
        if (outage && !on) // every lease has its full time again
            for (auto &[id, l] : loans)
                l.second = net::steady_now() + l.first;
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
        std::vector<std::string> gone;
        for (auto &[key, k] : keys)
            if (k.loan == id)
                gone.push_back(key);
        if (!gone.empty())
            ++ledger;
        for (auto &key : gone)
            drop(key);
    }
    void expire() {
        if (outage)
            return;
        std::vector<std::uint64_t> over;
        for (auto &[id, l] : loans)
            if (net::steady_now() > l.second)
                over.push_back(id);
        for (auto id : over)
            end_loan(id);
    }

    static std::map<std::string, std::string> query(const std::string &target) {
        std::map<std::string, std::string> out;
        auto from = target.find('?');
        while (from != std::string::npos) {
            auto to = target.find('&', from + 1);
            auto part = target.substr(from + 1, to == std::string::npos ? to : to - from - 1);
            auto eq = part.find('=');
            out[part.substr(0, eq)] = part.substr(eq + 1);
            from = to;
        }
        return out;
    }

    net::response say(int status, const json::object &o) const {
        return {status, json::serialize(o), 0, false};
    }

    awaitable<net::response> answer(std::size_t node, net::request r) {
        expire();
        auto path = r.target.substr(0, r.target.find('?'));
        auto q = query(r.target);
        if (path == "/watch")
            co_return co_await watch(node, q);
        if (outage || refused[node])
            co_return say(503, {{"error", "trouble"}});
        if (path == "/kv") {
            json::array items;
            for (auto &[key, k] : keys)
                if (key.starts_with(q["starts"]) && key > q["since"])
                    items.push_back({{"key", key}, {"data", k.data}, {"mark", k.mark}});
            co_return say(200, {{"items", items}, {"more", false}, {"ledger", ledger}});
        }
        if (path.starts_with("/kv/")) {
            auto i = keys.find(path.substr(4));
            ended_reads += path.starts_with("/kv/j/e/");
            if (i == keys.end())
                co_return say(404, {{"ledger", ledger}});
            json::object o{{"key", i->first}, {"data", i->second.data}, {"mark", i->second.mark}};
            if (i->second.loan)
                o["loan"] = i->second.loan;
            co_return say(200, o);
        }
        if (path == "/commit")
            co_return commit(json::parse(r.body).as_object());
        if (path == "/leases") {
            seconds s{json::parse(r.body).at("ttlMs").to_number<double>() / 1000};
            loans[++loan_count] = {s, net::steady_now() + s};
            co_return say(200, {{"loan", loan_count}});
        }
        auto id = std::stoull(path.substr(8)); // /leases/{id}...
        if (!loans.count(id))
            co_return say(404, {});
        if (r.method == "DELETE")
            end_loan(id);
        else
            loans[id].second = net::steady_now() + loans[id].first;
        co_return say(200, {});
    }

    net::response commit(const json::object &t) {
        json::array failed;
        if (auto *when = t.if_contains("when"))
            for (auto &c : when->as_array()) {
                auto key = std::string(c.at("key").as_string());
                auto i = keys.find(key);
                if ((i == keys.end() ? 0 : i->second.mark) !=
                    c.at("mark").to_number<std::uint64_t>())
                    failed.push_back(json::string(key));
            }
        if (!failed.empty())
            return say(409, {{"failed", failed}, {"ledger", ledger}});
        ++ledger;
        for (auto &op : t.at("apply").as_array()) {
            auto &o = op.as_object();
            if (auto *key = o.if_contains("drop")) {
                drop(std::string(key->as_string()));
                continue;
            }
            auto *loan = o.if_contains("loan");
            put(std::string(o.at("write").as_string()), o.at("data"),
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

    awaitable<net::response> watch(std::size_t node, std::map<std::string, std::string> q) {
        auto since = std::stoull(q["since"]);
        seconds hold{std::stod(q.count("holdMs") ? q["holdMs"] : "0") / 1000};
        auto until = net::steady_now() + hold;
        if ((outage || refused[node]) && net::steady_now() >= until)
            co_return say(503, {{"error", "trouble"}});
        for (;;) {
            expire();
            if (!outage && !refused[node]) {
                auto news = changes_since(since, q["starts"]);
                if (!news.empty() || net::steady_now() >= until)
                    co_return say(200, {{"ledger", ledger}, {"news", news}});
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

// Three controllers and their surroundings, however the controllers are run.
struct controllers {
    net::asio::io_context io;
    state_service state{io};
    std::vector<settings::settings> conf;

    explicit controllers(bool types_known = true) {
        if (types_known)
            state.put("c/types", json::parse(machine_types), 0);
        auto cloud = free_address(); // nobody listens there
        for (int i = 0; i < 3; ++i) {
            auto s = test::small_settings();
            s.node = fmt::format("n{}", i);
            s.api_address = free_address();
            s.peer_address = free_address();
            s.cloud_address = cloud;
            s.key_value_address = state.open_door(static_cast<std::size_t>(i));
            conf.push_back(s);
        }
        for (auto &s : conf)
            for (auto &o : conf)
                if (o.node != s.node)
                    s.peers.push_back({o.node, "a", o.peer_address});
    }
    virtual ~controllers() = default;

    void close() {
        for (auto &d : state.doors)
            d->stop();
        io.run_for(100ms);
    }

    void run(seconds length) { io.run_for(net::timer_ticks(length)); }

    net::reply call(std::size_t node, const std::string &method, const std::string &target,
                    const std::string &body) {
        net::client client(io, conf[node].api_address, 1);
        net::reply out;
        bool done = false;
        auto ask = [&]() -> awaitable<void> { // named: a coroutine does not keep its lambda alive
            out = co_await client.call(method, target, body, 6s);
            done = true;
        };
        net::spawn(io, ask(), "user");
        while (!done)
            io.run_one_for(100ms);
        return out;
    }
    int submit(std::size_t node, const std::string &body) {
        return call(node, "POST", "/submissions", body).status;
    }
    // Status and stage.
    std::string poll(std::size_t node, const std::string &id) {
        return shown(call(node, "GET", "/submissions/" + id, ""));
    }
    std::string cancel(std::size_t node, const std::string &id) {
        return shown(call(node, "POST", "/submissions/" + id + "/abort", ""));
    }
    static std::string shown(const net::reply &r) {
        if (r.status != 200)
            return std::to_string(r.status);
        return "200 " + std::string(json::parse(r.body).at("stage").as_string());
    }
    bool until(const std::function<bool()> &what, seconds time_limit = 30s) {
        auto limit = net::steady_now() + time_limit;
        while (!what() && net::steady_now() < limit)
            run(100ms);
        return what();
    }
    bool ready() {
        return until([&] {
            for (std::size_t i = 0; i < 3; ++i)
                if (call(i, "GET", "/ready", "").status != 200)
                    return false;
            return true;
        });
    }
};

struct cluster : controllers {
    std::vector<std::unique_ptr<control::controller>> nodes;

    explicit cluster(bool types_known = true) : controllers(types_known) {
        for (auto &s : conf) {
            nodes.push_back(std::make_unique<control::controller>(io, s));
            nodes.back()->start();
        }
    }
    cluster(const cluster &) = delete;
    cluster &operator=(const cluster &) = delete;
    // NOLINTNEXTLINE(bugprone-exception-escape): a throw here may end the test program
    ~cluster() override {
        for (auto &n : nodes)
            n->stop();
        close();
    }
};

// A worker that heartbeats to whoever answers it, and executes what it is told.
struct reporting_worker {
    explicit reporting_worker(controllers &around) : c(around) {}
    controllers &c;
    std::size_t node = 0;
    std::uint64_t tally = 0, warrant = 0;
    struct task {
        std::string state = "running", cause;
    };
    std::map<std::pair<std::string, std::uint64_t>, task> tasks; // by task and attempt
    int answers = 0;
    std::vector<std::string> started;       // in this order
    std::vector<std::string> started_twice; // while the task was here in another attempt

    // One heartbeat; true if it was answered by an entitled node.
    bool report() {
        json::array threads;
        for (auto &[t, here] : tasks) {
            json::object o{{"thread", t.first}, {"try", t.second}, {"stage", here.state}};
            if (here.state == "exited")
                o["cause"] = here.cause;
            threads.push_back(o);
        }
        json::object o{{"spindle", "i-000001"}, {"address", "127.0.0.1:1"}, {"frame", "small"},
                       {"croft", "a"},          {"loaners", true},          {"shift", 1},
                       {"tally", ++tally},      {"warrant", warrant},       {"recallS", nullptr},
                       {"threads", threads}};
        auto r = c.call(node, "POST", "/checkin", json::serialize(o));
        if (r.status != 200) {
            node = (node + 1) % 3;
            return false;
        }
        auto a = json::parse(r.body);
        auto token = a.at("warrant").to_number<std::uint64_t>();
        if (token < warrant)
            return false;
        warrant = token;
        ++answers;
        for (auto &v : a.at("orders").as_array()) {
            auto key = std::make_pair(std::string(v.at("thread").as_string()),
                                      v.at("try").to_number<std::uint64_t>());
            auto verb = v.at("verb").as_string();
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
        for (auto &[t, here] : tasks)
            if (t.first == key.first && here.state == "running")
                started_twice.push_back(key.first);
        started.push_back(key.first);
        tasks[key] = {};
    }
    bool runs(const std::string &job) const {
        for (auto &[t, here] : tasks)
            if (t.first == job + "/0" && here.state == "running")
                return true;
        return false;
    }
    // The running task of the job is done.
    void finish(const std::string &job) {
        for (auto &[t, here] : tasks)
            if (t.first == job + "/0" && here.state == "running")
                here = {"exited", "done"};
    }
};

} // namespace spindlecroft::test
