// The platform's TOML file. Unknown keys are ignored, because the platform may add some.
#include "settings/failure.hpp"
#include "settings/settings.hpp"
#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <functional>
#include <optional>
#include <set>
#include <toml++/toml.h>

namespace spindlecroft::settings {

namespace {

constexpr double ms_per_second = 1000;

// A table of the file. Error messages contain the full key, for instance "cluster.workers.lease_s".
class section {
  public:
    section(const toml::table &table, std::string prefix)
        : table_(table), prefix_(std::move(prefix)) {}

    [[nodiscard]] const toml::table &table() const { return table_; }
    [[nodiscard]] bool has(const std::string &key) const { return table_.get(key) != nullptr; }
    [[nodiscard]] std::string full_key(const std::string &key) const {
        return prefix_.empty() ? key : prefix_ + "." + key;
    }

    // Returns a string that is not empty.
    [[nodiscard]] std::string text(const std::string &key) const {
        auto value = required(key).value_exact<std::string>();
        if (!value)
            throw_settings_error(full_key(key), "must be a string");
        if (value->empty())
            throw_settings_error(full_key(key), "must not be empty");
        return *value;
    }

    [[nodiscard]] address host_and_port(const std::string &key) const {
        return parse_address(text(key), full_key(key));
    }

    [[nodiscard]] double number(const std::string &key, double minimum) const {
        const auto &node = required(key);
        if (!node.is_number())
            throw_settings_error(full_key(key), "must be a number");
        double value = *node.value<double>();
        if (!std::isfinite(value) || value < minimum)
            throw_settings_error(full_key(key), fmt::format("must be at least {}", minimum));
        return value;
    }

    [[nodiscard]] double number_or(const std::string &key, double minimum, double fallback) const {
        return has(key) ? number(key, minimum) : fallback;
    }

    [[nodiscard]] section subsection(const std::string &key) const {
        const auto &node = required(key);
        if (!node.is_table())
            throw_settings_error(full_key(key), "must be a table");
        return {*node.as_table(), full_key(key)};
    }

    // Calls `visit` for each table of a list, which may be absent.
    void each_table(const std::string &key,
                    const std::function<void(const section &)> &visit) const {
        const auto *node = table_.get(key);
        if (!node)
            return;
        if (!node->is_array())
            throw_settings_error(full_key(key), "must be a list of tables");
        for (const auto &item : *node->as_array()) {
            if (!item.is_table())
                throw_settings_error(full_key(key), "must be a list of tables");
            visit({*item.as_table(), full_key(key)});
        }
    }

  private:
    [[nodiscard]] const toml::node &required(const std::string &key) const {
        const auto *node = table_.get(key);
        if (!node)
            throw_settings_error(full_key(key), "is missing");
        return *node;
    }

    const toml::table &table_;
    std::string prefix_;
};

toml::table parse_toml(const std::string &text, const std::string &origin) {
    try {
        return toml::parse(text, origin);
    } catch (const toml::parse_error &error) {
        throw_settings_error(
            origin, fmt::format("line {}: {}", error.source().begin.line, error.description()));
    }
}

void read_node(settings &parsed, const section &root) {
    parsed.node = root.text("member");
    parsed.zone = root.text("location");
    parsed.api_address = root.host_and_port("api_addr");
    parsed.peer_address = root.host_and_port("back");
}

void read_peers(settings &parsed, const section &root) {
    std::set<std::string> names{parsed.node};
    root.each_table("members", [&](const section &table) {
        peer_controller peer;
        peer.name = table.text("member");
        peer.zone = table.text("location");
        peer.peer_address = table.host_and_port("addr");
        if (!names.insert(peer.name).second)
            throw_settings_error(table.full_key("member"),
                                 fmt::format("'{}' is defined twice", peer.name));
        parsed.peers.push_back(peer);
    });
}

void read_services(settings &parsed, const section &services) {
    parsed.cloud_address = services.host_and_port("cloud");
    parsed.key_value_address = services.host_and_port("state");
}

team team_of(const section &table) {
    team parsed;
    parsed.name = table.text("name");
    parsed.cpus = table.number_or("cpus", 0, 0);
    parsed.cpus_max = table.number_or("cpus_max", 0, 0);
    parsed.gpus = table.number_or("gpus", 0, 0);
    parsed.gpus_max = table.number_or("gpus_max", 0, 0);
    if (parsed.cpus_max > 0 && parsed.cpus > parsed.cpus_max)
        throw_settings_error(table.full_key("cpus"), "must not exceed cpus_max");
    if (parsed.gpus_max > 0 && parsed.gpus > parsed.gpus_max)
        throw_settings_error(table.full_key("gpus"), "must not exceed gpus_max");
    return parsed;
}

void read_teams(settings &parsed, const section &cluster) {
    cluster.each_table("teams", [&](const section &table) {
        auto next = team_of(table);
        if (parsed.find_team(next.name))
            throw_settings_error(table.full_key("name"),
                                 fmt::format("'{}' is defined twice", next.name));
        parsed.teams.push_back(next);
    });
}

void read_objectives(settings &parsed, const section &cluster) {
    cluster.each_table("objectives", [&](const section &section) {
        const auto &table = section.table();
        objective next;
        next.kind = table["kind"].value_or(std::string());
        next.job_class = table["class"].value_or(std::string());
        next.share = table["share"].value_or(0.0);
        next.deadline_factor = table["times"].value_or(0.0);
        next.time_limit = seconds{table["within_s"].value_or(0.0)};
        parsed.objectives.push_back(next);
    });
}

void read_workers(settings &parsed, const section &workers) {
    parsed.heartbeat_interval = seconds{workers.number("report_s", 0.1)};
    parsed.lease_duration = seconds{workers.number("lease_s", 1)};
    parsed.cancel_deadline = seconds{workers.number("cancel_s", 1)};
}

// Reads the limits that will come into force at the key-value store at an unknown time, without
// notice.
void read_next_limits(settings &parsed, const section &next) {
    parsed.value_kb = std::min(parsed.value_kb, next.number_or("value_kb", 2, parsed.value_kb));
    auto operations = next.number_or("txn_ops", 2, static_cast<double>(parsed.txn_ops));
    parsed.txn_ops = std::min(parsed.txn_ops, static_cast<int>(operations));
    double rate = next.number_or("write_rps", 1, parsed.key_value_write_rps);
    if (rate < parsed.key_value_write_rps)
        parsed.next_key_value_write_rps = rate;
}

void read_state(settings &parsed, const section &state) {
    parsed.key_value_rps = state.number("rps", 1);
    parsed.key_value_write_rps = state.number("write_rps", 1);
    parsed.value_kb = state.number("value_kb", 2);
    parsed.txn_ops = static_cast<int>(state.number("txn_ops", 2));
    if (state.has("next"))
        read_next_limits(parsed, state.subsection("next"));
}

void read_cloud(settings &parsed, const section &cloud) {
    parsed.cloud_rps = cloud.number("rps", 0.1);
    parsed.machine_list_lag = seconds{cloud.number("list_lag_s", 0)};
}

void read_machine_limits(settings &parsed, const section &limits) {
    parsed.core_share = limits.number("core_share", 0.001);
    parsed.ram_mb = limits.number("ram_mb", 8);
    parsed.max_connections = static_cast<int>(limits.number("max_connections", 16));
}

void read_cluster(settings &parsed, const section &cluster) {
    parsed.max_clock_error = seconds{cluster.number_or("time_bound_ms", 0, 1000) / ms_per_second};
    read_teams(parsed, cluster);
    read_objectives(parsed, cluster);
    read_workers(parsed, cluster.subsection("workers"));
    read_state(parsed, cluster.subsection("state"));
    read_cloud(parsed, cluster.subsection("cloud"));
    read_machine_limits(parsed, cluster.subsection("machine_limits"));
}

} // namespace

settings parse(const std::string &toml_text, const std::string &origin) {
    auto table = parse_toml(toml_text, origin);
    section root(table, "");
    settings parsed;
    read_node(parsed, root);
    read_peers(parsed, root);
    read_services(parsed, root.subsection("services"));
    read_cluster(parsed, root.subsection("cluster"));
    return parsed;
}

settings load(const std::string &path) {
    auto text = read_file(path);
    try {
        return parse(text, path);
    } catch (const settings_error &error) {
        std::string message = error.what();
        if (message.starts_with(path))
            throw;
        throw_settings_error(path, message);
    }
}

} // namespace spindlecroft::settings
