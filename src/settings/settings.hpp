// Settings: the platform's TOML file (platform_file.cpp) and the operators' own S-expression file
// (operator_file.cpp), both checked.
#pragma once
#include "common/time.hpp"
#include "settings/socket_plan.hpp"
#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace spindlecroft::settings {

/// An IPv4 number and a port.
struct address {
    std::string host;
    unsigned short port = 0;
};

/// Another controller.
struct peer_controller {
    std::string name;
    std::string zone;
    address peer_address; // where controllers talk to each other
};

/// A team's guarantee and limit. 0: no guarantee, no limit.
struct team {
    std::string name;
    double cpus = 0;
    double cpus_max = 0;
    double gpus = 0;
    double gpus_max = 0;
};

/// What the platform expects of a class of jobs.
struct objective {
    std::string kind;
    std::string job_class;
    double share = 0;           // of the jobs
    double deadline_factor = 0; // the deadline as a multiple of the job's own
    seconds time_limit{};
};

/// What operators may set themselves.
struct operator_options {
    int spare_replicas = 0;    // of the largest service, kept warm
    seconds drain_target{};    // waiting work should start within this
    bool may_rent_spot = true; // spot machines may be rented
    int fleet_limit = 0;       // most machines
    operator_options();
};

/// All that a controller is told at its start.
struct settings {
    std::string node; // its own name
    std::string zone;
    address api_address;                // users, workers and health checks
    address peer_address;               // other controllers
    std::vector<peer_controller> peers; // the others
    address cloud_address;
    address key_value_address; // the key-value store
    seconds max_clock_error{}; // most that a machine's clock of day is wrong
    std::vector<team> teams;
    std::vector<objective> objectives;
    seconds heartbeat_interval{};   // between two heartbeats of a worker
    seconds lease_duration{};       // of a worker, from a heartbeat on
    seconds cancel_deadline{};      // a cancelled job's tasks have stopped by then
    double key_value_rps = 0;       // requests a second to the key-value store
    double key_value_write_rps = 0; // writes a second among them
    // The smaller of the present and the coming limit: what is written stays within both.
    double value_kb = 0; // KiB of a value
    int txn_ops = 0;     // operations of a transaction
    // The coming limit, used once the service shows that it is in force; nothing: it stays.
    std::optional<double> next_key_value_write_rps;
    double cloud_rps = 0;       // requests a second to the cloud
    seconds machine_list_lag{}; // the cloud's list of machines may be so old
    double core_share = 0;      // of a core that this process may use
    double ram_mb = 0;          // that this process may use
    int max_connections = 0;    // sockets that this process may have open
    operator_options options;

    /// The team's settings, or nullptr for an unknown team.
    [[nodiscard]] const team *find_team(const std::string &name) const;
    /// The longest value that the key-value store takes, with some room for how it counts; bytes.
    [[nodiscard]] std::size_t value_bytes() const;
};

/// One line that names the key and what is wrong with it.
class settings_error : public std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Reads HOST:PORT. This and what follows throws settings_error; key or origin begins its text.
address parse_address(const std::string &text, const std::string &key);
/// The platform's settings, from a text or a file.
settings parse(const std::string &toml_text, const std::string &origin);
settings load(const std::string &path);
/// The operators' options, from a text or a file.
operator_options parse_operator_options(const std::string &text, const std::string &origin);
operator_options load_operator_options(const std::string &path);

} // namespace spindlecroft::settings
