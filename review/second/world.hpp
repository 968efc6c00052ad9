// The surroundings of a small deployment for the cases of the second review: the key-value store,
// the cloud, workers, users and links between controllers, all on loopback, and controllers that
// are started as processes with the commands of the deploy file. Everything runs on one thread.
#pragma once
#include "net/http.hpp"
#include <array>
#include <boost/json.hpp>
#include <deque>
#include <fstream>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

namespace json = boost::json;
namespace net = spindlecroft::net;
using net::awaitable;
using spindlecroft::settings::address;

class world;

// Parameters of a deployment; the defaults are those of the small Consortium deployment.
struct deployment {
    int nodes = 3;
    std::vector<std::string> zones{"palermo", "cordoba"};
    double report_s = 3, lease_s = 14, cancel_s = 39;
    double state_rps = 100, state_write_rps = 25, value_kb = 8;
    int txn_ops = 16;
    double cloud_rps = 1.5, list_lag_s = 8;
    double time_bound_ms = 250;
    int max_connections = 1200;
    // Machine types: name, cores, memory, boot time.
    struct type {
        std::string name;
        double cores, memory_gb, boot_s;
    };
    std::vector<type> types{{"mate", 8, 16, 15}, {"quebracho", 32, 128, 25}};
    int capacity = 3; // machines of one type, zone and kind
    struct team {
        std::string name;
        double cores, cores_max;
    };
    std::vector<team> teams{{"plataforma-1", 24, 56}, {"plataforma-2", 24, 56}};
};

// --- the key-value store ---

class store {
  public:
    explicit store(world &around) : world_(around) {}
    awaitable<net::response> answer(std::size_t node, net::request message);

    struct door {
        bool refused = false;        // 503, and open watches wait
        bool silent = false;         // no answers; requests are held back until the end
        double late_share = 0;       // transactions that are carried out 2 to 12 s late
        double unanswered_share = 0; // transactions that are carried out, but not answered
    };
    std::array<door, 8> doors;
    bool outage = false;
    double latency_s = 0.003;
    double slow_share = 0.03, slow_s = 0.15; // "now and then a few hundred" milliseconds
    // Called after a transaction was applied, with the controller that sent it.
    std::function<void(std::size_t, const json::array &)> on_applied;
    // Transactions that were committed, that failed a condition and that the rate limit refused.
    std::size_t committed = 0, conflicts = 0, over_rate = 0;
    void end_outage();
    [[nodiscard]] std::string leader(); // the node that the key `leader` names

    struct kept {
        json::value data;
        std::uint64_t mark = 0, loan = 0;
    };
    std::map<std::string, kept> keys;

  private:
    struct change {
        std::uint64_t mark;
        std::string key;
        std::optional<json::value> data;
    };
    struct lease {
        double ttl, ends;
    };
    awaitable<net::response> watch(std::size_t node, std::map<std::string, std::string> query);
    net::response commit(std::size_t node, const std::string &body);
    net::response list(const std::map<std::string, std::string> &query);
    bool within_rate(double writes);
    void put(const std::string &key, json::value data, std::uint64_t loan);
    void drop(const std::string &key);
    void end_lease(std::uint64_t id);
    void expire();
    awaitable<void> blocked(std::size_t node);

    world &world_;
    std::deque<change> changes_;
    std::uint64_t dropped_ = 0; // newest revision that is no longer retained
    std::map<std::uint64_t, lease> leases_;
    std::uint64_t ledger_ = 100, lease_count_ = 0;
    double tokens_ = 0, write_tokens_ = 0, refilled_at_ = 0;
};

// --- jobs and what their users were told ---

struct job {
    std::string uid;
    json::object body;
    std::string crew;
    bool is_array = true, same_place = false, scatter = false, loaners = true;
    std::optional<std::string> croft;
    std::optional<std::vector<std::string>> frames;
    std::vector<std::string> awaits;
    unsigned threads = 1;
    double cores = 1, memory_gb = 1, size_gb = 0, knot_s = 0, tie_s = 0;
    double run_s = 5;         // how long a task of an array runs
    unsigned long_from = ~0U; // tasks from this number on run long_times as long
    double long_times = 1;
    bool uploaded = true; // the description can be fetched by workers
    std::optional<double> first_asked_at, accepted_at, done_at, cancelled_at, cancel_asked_at;
    std::set<unsigned> done;
    std::optional<double> complete_at; // when its last task was done
    std::optional<double> last_answer_at;
};

// --- workers ---

struct task {
    std::string name;
    std::uint64_t attempt = 0;
    std::string stage, cause;
    bool kept = false;
    double fetch_left = 0, run_left = 0, save_left = 0;
    job *of = nullptr;
    unsigned index = 0;
    [[nodiscard]] bool holds() const { return stage == "running" || stage == "flushing"; }
    [[nodiscard]] bool uses() const { return stage != "exited"; }
};

class worker {
  public:
    worker(world &around, std::string name, deployment::type type, std::string zone, bool spot);
    void start(); // it is up: its server listens and its reports begin
    void die();
    void fail(); // it stops with all that is on it
    double failed_at = 0;

    std::string name, zone;
    deployment::type type;
    bool spot;
    bool up = false, dead = false;
    std::size_t last_report_bytes = 0;
    double rented_at = 0;
    bool hung = false;         // executes nothing for a while
    bool deaf = false;         // answers and direct commands to it are lost
    bool mute = false;         // reaches no controller
    double late_copies = 0;    // share of its reports that arrive once more, late
    double late_commands = 0;  // share of direct commands that are held up and executed late
    std::string copy_for_next; // a report that is kept for the next leader
    std::map<std::pair<std::string, std::uint64_t>, task> tasks;
    std::uint64_t shift = 1, tally = 0, warrant = 0;
    [[nodiscard]] std::string status();
    [[nodiscard]] std::string address_text() const;

  private:
    awaitable<void> run_reports();
    awaitable<void> run_clock();
    awaitable<void> repeat_late(std::string body, double delay);
    awaitable<net::response> answer(net::request message);
    bool execute(const json::object &message, const char *channel);
    void start_task(const std::string &thread, std::uint64_t attempt, const char *channel);
    void stop_task(task &stopped, double slack);
    void exit_task(task &ended, const std::string &cause);
    void hold(task &started);
    void changed();

    world &world_;
    address address_;
    std::unique_ptr<net::server> server_;
    std::size_t node_ = 0;
    double last_answered_sent_ = 0, last_report_ = -10, raised_at_ = -1000;
    bool has_news_ = false;
    std::set<std::string> images_;
    double last_tick_ = 0;
};

// --- the cloud ---

class cloud {
  public:
    explicit cloud(world &around) : world_(around) {}
    awaitable<net::response> answer(net::request message);
    bool trouble = false;
    double boot_factor = 1;
    // Machines that are up from the start.
    worker &add(const deployment::type &type, const std::string &zone, bool spot, double boot_s);

  private:
    struct listed {
        double from;
        std::optional<double> to;
    };
    json::array crofts() const;
    net::response list(const std::map<std::string, std::string> &query);
    net::response rent(const json::object &message);
    awaitable<void> boot(worker *booting, double after);
    friend class worker;
    world &world_;
    std::map<std::string, json::array> requests_;
    std::map<std::string, listed> life_;
    int count_ = 0;
    double tokens_ = 3, refilled_at_ = 0;
};

// --- links between controllers ---

// One directed link; a request through it is passed on, held back, dropped or refused.
struct link {
    enum class mode { pass, hold, drop };
    mode state = mode::pass;
    std::unique_ptr<net::server> server;
    std::unique_ptr<net::client> client;
};

// --- everything together ---

class world {
  public:
    explicit world(deployment settings, std::string case_folder);
    ~world();
    world(const world &) = delete;
    world &operator=(const world &) = delete;

    net::asio::io_context io{1};
    deployment conf;
    store state;
    cloud machines_api;
    std::map<std::string, std::unique_ptr<worker>> workers;
    std::map<std::string, job> jobs;
    std::mt19937 random;

    [[nodiscard]] double now() const;
    void record(const std::string &line);
    void run(double seconds); // lets everything go on for this long
    bool until(const std::function<bool()> &condition, double limit_s);
    double uniform(double from, double to);
    bool chance(double share) { return uniform(0, 1) < share; }
    awaitable<void> sleep(double seconds) { return net::sleep_for(spindlecroft::seconds{seconds}); }
    void spawn(awaitable<void> routine) { net::spawn(io, std::move(routine), "case"); }

    // Controllers.
    void start_node(std::size_t node);
    void kill_node(std::size_t node);
    void stop_node(std::size_t node);     // SIGSTOP
    void continue_node(std::size_t node); // SIGCONT
    bool ended_by_itself(std::size_t node);
    [[nodiscard]] bool running(std::size_t node) const { return pids_[node] > 0; }
    [[nodiscard]] bool stopped(std::size_t node) const { return stopped_[node]; }
    [[nodiscard]] std::optional<std::size_t> leading(); // as the key `leader` says
    bool all_ready(double limit_s);
    link &between(std::size_t from, std::size_t to) { return *links_.at({from, to}); }
    [[nodiscard]] address api(std::size_t node) const { return api_[node]; }
    std::size_t any_node();

    // Users. Each call is one request to one node.
    awaitable<net::reply> call(std::size_t node, std::string method, std::string target,
                               std::string body, double limit_s);
    job &make_job(const std::string &uid, const json::object &changes, double run_s);
    awaitable<void> submit(job *submitted, int node = -1); // until it is accepted
    awaitable<void> cancel(job *cancelled, int node = -1); // until it is confirmed
    awaitable<void> poll(job *asked, std::size_t node);    // once
    awaitable<void> follow(job *asked);                    // until it is over
    net::reply call_now(std::size_t node, const std::string &method, const std::string &target,
                        const std::string &body, double limit_s = 5);

    // Rules.
    void broken(const std::string &rule, const std::string &what);
    void on_held(worker &host, task &started);
    void check_clock(); // rules that depend on time alone
    std::vector<std::pair<std::string, std::string>> broken_rules;
    std::size_t started = 0, starts_after_cancel = 0;
    double latest_start_after_cancel = 0; // seconds after the confirmation

    bool could_not_start = false; // a controller ended right after its start
    address free_address();
    net::client &user_client(std::size_t node) { return *clients_[node]; }
    std::map<std::string, double> result_; // tasks whose result is kept

  private:
    void note_answer(job &asked, double asked_at, std::size_t node, const net::reply &answer,
                     const char *question);
    void write_settings(std::size_t node);
    awaitable<void> run_checks();
    std::string folder_, temporary_, root_;
    std::vector<std::string> command_;
    std::ofstream record_;
    std::chrono::steady_clock::time_point began_;
    std::string host_;
    std::vector<address> api_, back_, state_at_, cloud_at_;
    std::vector<pid_t> pids_;
    std::vector<bool> stopped_;
    std::array<double, 8> started_at_{};
    std::set<unsigned> given_ports_;
    std::vector<std::unique_ptr<net::server>> servers_;
    std::vector<std::unique_ptr<net::client>> clients_;
    std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<link>> links_;
};

[[nodiscard]] inline bool with_trouble() {
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

inline std::map<std::string, std::string> query_of(const std::string &target) {
    std::map<std::string, std::string> query;
    auto from = target.find('?');
    while (from != std::string::npos) {
        auto to = target.find('&', from + 1);
        auto part = target.substr(from + 1, to == std::string::npos ? to : to - from - 1);
        auto equals = part.find('=');
        if (equals != std::string::npos)
            query[part.substr(0, equals)] = part.substr(equals + 1);
        from = to;
    }
    return query;
}

inline net::response say(int status, const json::value &body) {
    return {status, json::serialize(body), 0, false};
}

} // namespace review
