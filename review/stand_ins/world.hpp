// The surroundings of a small deployment on loopback: the stand-ins, the controllers as processes,
// users, and the record of what happened.
#pragma once
#include "net/async.hpp"
#include "net/http.hpp"
#include "settings/settings.hpp"
#include "stand_ins/cloud.hpp"
#include "stand_ins/state_service.hpp"
#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/// Returns a free loopback address.
[[nodiscard]] spindlecroft::settings::address free_address();
[[nodiscard]] std::string text_of(const spindlecroft::settings::address &address);
/// Returns a JSON response.
[[nodiscard]] net::response answer_of(int status, const json::object &body);

/// What the settings of the deployment say.
struct deployment {
    std::string site; // its name, for the record
    std::vector<std::string> zones;
    std::vector<std::string> node_zones; // one for each controller
    std::string teams;                   // TOML
    double report_s = 3, lease_s = 44, cancel_s = 74;
    double cloud_rps = 10, list_lag_s = 10;
    double ram_mb = 200;
    int max_connections = 5000;
    state_limits state;
    json::array machine_types;
    std::string state_next; // TOML; empty: no coming limits
};
/// The two deployments of BRIEF.
[[nodiscard]] deployment haddad();
[[nodiscard]] deployment guion();

/// A job as its user submits it; `fields` are the fields of the submission.
struct job_form {
    json::object fields;
    seconds run_time{15}; // of a task
};
/// Returns a complete submission with usual values.
[[nodiscard]] json::object submission(const std::string &uid, const std::string &crew,
                                      const std::string &shape, int threads, double cores,
                                      double mem_gb);

class worker;

class world {
  public:
    world(const std::string &case_name, deployment shape);
    ~world();
    world(const world &) = delete;
    world &operator=(const world &) = delete;

    net::asio::io_context io;
    deployment setup;
    std::unique_ptr<state_service> state;
    std::unique_ptr<cloud> rented;
    std::map<std::string, job_form> jobs; // submitted or to be submitted, by uid
    std::map<std::string, std::unique_ptr<worker>> workers;
    std::set<std::string> done_tasks; // that a worker completed
    std::mt19937 luck{std::random_device{}()};

    // --- controllers ---
    struct controller {
        std::string name, zone;
        spindlecroft::settings::address api, back;
        pid_t pid = 0;
        bool ended_by_itself = false;
    };
    std::vector<controller> controllers;
    void start(std::size_t node);
    void start_all();
    void kill(std::size_t node);
    void stop(std::size_t node);      // SIGSTOP
    void continue_(std::size_t node); // SIGCONT
    /// Returns whether a controller process ended without being told to.
    bool any_ended();
    [[nodiscard]] std::string log_of(std::size_t node) const;

    // --- users ---
    /// Sends a request to a controller from a new connection and waits for its answer.
    awaitable<net::reply> call(std::size_t node, std::string method, std::string target,
                               std::string body, seconds timeout);
    /// Submits a job as a user does: until it is accepted or rejected, at most for 60 s. Returns
    /// the status of the last answer; 0: none.
    awaitable<int> submit(std::string uid, std::optional<std::size_t> only_node = {});
    /// Cancels a job as a user does. Returns the stage that was answered; empty: no answer in 60 s.
    awaitable<std::string> cancel(std::string uid, std::optional<std::size_t> only_node = {});
    /// Polls once. Returns the stage, "404", another status, or "" without an answer.
    awaitable<std::string> poll(std::size_t node, std::string uid, seconds timeout = seconds{2});
    /// The controller to which the load balancer sends a new connection.
    std::size_t any_node();

    // --- the record ---
    [[nodiscard]] double time() const;
    void note(const std::string &line);
    void violation(const std::string &line);
    [[nodiscard]] const std::vector<std::string> &violations() const { return violations_; }

    // --- the run ---
    /// Runs the script to its end. Returns the exit status: 0, or 1 if there was a violation, or 2
    /// if the script threw or did not end within the limit.
    int run(const std::function<awaitable<void>(world &)> &script, seconds limit);
    /// Waits until every controller is ready and a leader answers; throws if that takes too long.
    awaitable<void> until_ready(seconds limit = seconds{40});
    /// Waits until a leader has answered every worker.
    awaitable<void> until_all_report(seconds limit = seconds{20});
    awaitable<bool> until(std::function<bool()> condition, seconds limit);
    /// The index of the controller that a worker last got an answer from.
    [[nodiscard]] std::optional<std::size_t> leader() const;
    [[nodiscard]] bool trouble() const { return trouble_; } // false with TROUBLE=0

  private:
    std::filesystem::path folder_;
    std::ofstream record_;
    time_point began_;
    std::vector<std::string> violations_;
    bool trouble_ = true;
    bool over_ = false;
};

} // namespace review
