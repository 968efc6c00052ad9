// Settings: the platform's TOML file and the operators' own S-expression file, both checked.
#pragma once
#include "common/time.hpp"
#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace spindlecroft::settings {

struct address {
    std::string host;
    unsigned short port = 0;
};

struct member {
    std::string name;
    std::string zone;
    address back;
};

struct team {
    std::string name;
    double cpus = 0, cpus_max = 0; // 0: no guarantee, no limit
    double gpus = 0, gpus_max = 0;
};

struct objective {
    std::string kind, job_class;
    double share = 0, times = 0;
    seconds within{};
};

// What operators may set themselves.
struct operator_options {
    int spare_replicas = 0;
    seconds drain_target{};
    bool spot = true;
    int fleet_limit = 0;
    operator_options();
};

// How a controller divides the sockets it may have.
struct socket_plan {
    std::size_t api = 0;      // users, workers and health checks
    std::size_t back = 0;     // other controllers
    std::size_t commands = 0; // commands to workers, under way or kept open
};
socket_plan plan_sockets(int max_connections);

struct settings {
    std::string node, zone;
    address api, back;
    std::vector<member> members; // the others
    address cloud, state;
    seconds clock_bound{};
    std::vector<team> teams;
    std::vector<objective> objectives;
    seconds heartbeat_interval{};
    seconds lease_duration{};
    seconds cancel_deadline{};
    double state_rps = 0, state_write_rps = 0;
    // The smaller of the present and the coming limit: what is written stays within both.
    double value_kb = 0;
    int txn_ops = 0;
    // The coming limit, used once the service shows that it is in force; nothing: it stays.
    std::optional<double> next_state_write_rps;
    double cloud_rps = 0;
    seconds list_lag{};
    double core_share = 0, ram_mb = 0;
    int max_connections = 0;
    operator_options ops;

    const team *find_team(const std::string &name) const;
    // The longest value that the key-value store takes, with some room for how it counts.
    std::size_t value_bytes() const;
};

// One line that names the key and what is wrong with it.
class settings_error : public std::runtime_error {
    using std::runtime_error::runtime_error;
};

address parse_address(const std::string &text, const std::string &key);
settings parse(const std::string &toml_text, const std::string &origin);
settings load(const std::string &path);
operator_options parse_operator(const std::string &text, const std::string &origin);
operator_options load_operator(const std::string &path);

} // namespace spindlecroft::settings
