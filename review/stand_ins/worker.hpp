// A stand-in for the worker of one machine, as PROTOCOL describes it.
#pragma once
#include "net/async.hpp"
#include "net/http.hpp"
#include "stand_ins/cloud.hpp"
#include <boost/json.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace review {

class world;

class worker {
  public:
    struct task {
        std::string stage = "pulling", cause;
        bool kept = false;
        time_point run_since{};
        std::optional<time_point> saved_at; // when a task that is saving exits
    };
    using key = std::pair<std::string, std::uint64_t>; // task, attempt

    worker(world &around, const cloud::machine &description);
    void start();
    /// The machine is gone, with all that was on it.
    void end();
    [[nodiscard]] bool ended() const { return *ended_; }
    /// Whether the task holds its image and has not exited.
    [[nodiscard]] bool has(const std::string &task) const;
    [[nodiscard]] bool runs_any(const std::string &job) const;

    // --- disturbances ---
    bool silent = false;  // reaches no controller; direct commands still reach it
    bool deaf = false;    // its reports arrive, answers and direct commands are lost
    bool sick = false;    // fails every task that it starts
    bool hanging = false; // executes nothing until this is false again
    std::function<seconds()> command_delay; // direct commands are executed this late, unanswered

    /// Called with the body of each direct command that was executed.
    std::function<void(const std::string &)> on_command;

    std::string name, frame, zone, address;
    bool spot = false;
    std::size_t node = 0;
    std::optional<time_point> answered_at; // when the last report was answered
    std::uint64_t shift = 1, tally = 0, warrant = 0;
    std::map<key, task> tasks;
    std::size_t reports = 0, commands = 0, failed = 0;

  private:
    awaitable<void> run_reports();
    awaitable<void> run_tasks();
    awaitable<net::response> serve(net::request received);
    json::object report();
    void execute(const json::array &orders);
    void start_task(const key &id);
    void new_session(const char *why);
    [[nodiscard]] double used(const char *field) const;
    void changed() { changed_ = true; }

    world &world_;
    std::unique_ptr<net::server> server_;
    std::shared_ptr<bool> ended_ = std::make_shared<bool>(false);
    std::set<std::string> images_;
    time_point lease_from_;
    bool changed_ = false;
    double cores_ = 0, mem_gb_ = 0;
};

} // namespace review
