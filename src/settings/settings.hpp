// The settings of a controller, read and validated from the platform's TOML file
// (platform_file.cpp) and the operators' S-expression file (operator_file.cpp).
#pragma once
#include "common/time.hpp"
#include "settings/socket_plan.hpp"
#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace spindlecroft::settings {

/// An IPv4 address and a port.
struct address {
    std::string host;
    unsigned short port = 0;
};

/// Another controller.
struct peer_controller {
    std::string name;
    std::string zone;
    address peer_address; // for messages between controllers
};

/// A team's guaranteed resources and quota.
struct team {
    std::string name;
    double cpus = 0;     // guaranteed; 0: none
    double cpus_max = 0; // quota; 0: unlimited
    double gpus = 0;     // guaranteed; 0: none
    double gpus_max = 0; // quota; 0: unlimited
};

/// A service-level objective of the platform for a class of jobs.
struct objective {
    std::string kind;
    std::string job_class;
    double share = 0;           // of the jobs that must meet the objective
    double deadline_factor = 0; // deadline as a multiple of the job's own
    seconds time_limit{};       // 0: none
};

/// The options in the operators' file.
struct operator_options {
    int spare_replicas = 0;    // replicas of the largest service to keep idle capacity for
    seconds drain_target{};    // time within which waiting work should start
    bool may_rent_spot = true; // whether spot machines may be rented
    int fleet_limit = 0;       // most machines
    operator_options();
};

/// All settings of a controller.
struct settings {
    std::string node; // this controller's name
    std::string zone;
    address api_address;                // users, workers and health checks
    address peer_address;               // messages between controllers
    std::vector<peer_controller> peers; // the other controllers
    address cloud_address;
    address key_value_address;
    seconds max_clock_error{}; // greatest error of a machine's wall clock
    std::vector<team> teams;
    std::vector<objective> objectives;
    seconds heartbeat_interval{};   // between two heartbeats of a worker
    seconds lease_duration{};       // of a worker's lease, since its heartbeat
    seconds cancel_deadline{};      // limit for a cancelled job's tasks to stop
    double key_value_rps = 0;       // requests per second to the key-value store
    double key_value_write_rps = 0; // writes per second among them
    // The smaller of the present and the announced limit: what is written stays within both.
    double value_kb = 0; // largest value; KiB
    int txn_ops = 0;     // most operations of a transaction
    // The announced limit, used once the store shows that it is in force; nullopt: none announced.
    std::optional<double> next_key_value_write_rps;
    double cloud_rps = 0;       // requests per second to the cloud
    seconds machine_list_lag{}; // greatest age of the cloud's list of machines
    double core_share = 0;      // CPU limit of this process; cores
    double ram_mb = 0;          // memory limit of this process; MB
    int max_connections = 0;    // most open sockets of this process
    operator_options options;

    /// Returns the team's settings, or nullptr for an unknown team.
    [[nodiscard]] const team *find_team(const std::string &name) const;
    /// Returns the largest size of a value to write to the key-value store; bytes. A margin is
    /// subtracted from the limit, because the store may count the size differently.
    [[nodiscard]] std::size_t value_bytes() const;
};

/// Thrown for invalid settings. what() is one line with the key and the problem.
class settings_error : public std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Parses HOST:PORT. This and the following functions throw settings_error; its text begins with
/// the key or the origin.
address parse_address(const std::string &text, const std::string &key);
/// Parses the platform's settings. `origin` is the source of the text, for error messages.
settings parse(const std::string &toml_text, const std::string &origin);
/// Loads the platform's settings from a file.
settings load(const std::string &path);
/// Parses the operators' options. `origin` is the source of the text, for error messages.
operator_options parse_operator_options(const std::string &text, const std::string &origin);
/// Loads the operators' options from a file.
operator_options load_operator_options(const std::string &path);

} // namespace spindlecroft::settings
