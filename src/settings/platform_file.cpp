// The platform's TOML file. Unknown keys are passed over: the platform may add some.
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

// A table of the file. Errors name the full key, as "cluster.workers.lease_s".
class section {
  public:
    section(const toml::table &table, std::string prefix)
        : table_(table), prefix_(std::move(prefix)) {}

    [[nodiscard]] const toml::table &table() const { return table_; }
    [[nodiscard]] bool has(const std::string &key) const { return table_.get(key) != nullptr; }
    [[nodiscard]] std::string full(const std::string &key) const {
        return prefix_.empty() ? key : prefix_ + "." + key;
    }

    // A text that is not empty.
    [[nodiscard]] std::string text(const std::string &key) const {
        auto value = required(key).value_exact<std::string>();
        if (!value)
            fail(full(key), "must be a text");
        if (value->empty())
            fail(full(key), "must not be empty");
        return *value;
    }

    [[nodiscard]] address host_and_port(const std::string &key) const {
        return parse_address(text(key), full(key));
    }

    [[nodiscard]] double number(const std::string &key, double least) const {
        const auto &node = required(key);
        if (!node.is_number())
            fail(full(key), "must be a number");
        double value = *node.value<double>();
        if (!std::isfinite(value) || value < least)
            fail(full(key), fmt::format("must be at least {}", least));
        return value;
    }

    [[nodiscard]] double number_or(const std::string &key, double least, double fallback) const {
        return has(key) ? number(key, least) : fallback;
    }

    [[nodiscard]] section subsection(const std::string &key) const {
        const auto &node = required(key);
        if (!node.is_table())
            fail(full(key), "must be a table");
        return {*node.as_table(), full(key)};
    }

    // Calls `take` for each table of a list, which may be absent.
    void each_table(const std::string &key,
                    const std::function<void(const section &)> &take) const {
        const auto *node = table_.get(key);
        if (!node)
            return;
        if (!node->is_array())
            fail(full(key), "must be a list of tables");
        for (const auto &item : *node->as_array()) {
            if (!item.is_table())
                fail(full(key), "must be a list of tables");
            take({*item.as_table(), full(key)});
        }
    }

  private:
    [[nodiscard]] const toml::node &required(const std::string &key) const {
        const auto *node = table_.get(key);
        if (!node)
            fail(full(key), "is missing");
        return *node;
    }

    const toml::table &table_;
    std::string prefix_;
};

toml::table parse_toml(const std::string &text, const std::string &origin) {
    try {
        return toml::parse(text, origin);
    } catch (const toml::parse_error &error) {
        fail(origin, fmt::format("line {}: {}", error.source().begin.line, error.description()));
    }
}

void read_node(settings &read, const section &root) {
    read.node = root.text("member");
    read.zone = root.text("location");
    read.api_address = root.host_and_port("api_addr");
    read.peer_address = root.host_and_port("back");
}

void read_members(settings &read, const section &root) {
    std::set<std::string> seen{read.node};
    root.each_table("members", [&](const section &table) {
        peer_controller other;
        other.name = table.text("member");
        other.zone = table.text("location");
        other.peer_address = table.host_and_port("addr");
        if (!seen.insert(other.name).second)
            fail(table.full("member"), fmt::format("'{}' is named twice", other.name));
        read.peers.push_back(other);
    });
}

void read_services(settings &read, const section &services) {
    read.cloud_address = services.host_and_port("cloud");
    read.key_value_address = services.host_and_port("state");
}

team team_of(const section &table) {
    team read;
    read.name = table.text("name");
    read.cpus = table.number_or("cpus", 0, 0);
    read.cpus_max = table.number_or("cpus_max", 0, 0);
    read.gpus = table.number_or("gpus", 0, 0);
    read.gpus_max = table.number_or("gpus_max", 0, 0);
    if (read.cpus_max > 0 && read.cpus > read.cpus_max)
        fail(table.full("cpus"), "must not exceed cpus_max");
    if (read.gpus_max > 0 && read.gpus > read.gpus_max)
        fail(table.full("gpus"), "must not exceed gpus_max");
    return read;
}

void read_teams(settings &read, const section &cluster) {
    cluster.each_table("teams", [&](const section &table) {
        auto next = team_of(table);
        if (read.find_team(next.name))
            fail(table.full("name"), fmt::format("'{}' is named twice", next.name));
        read.teams.push_back(next);
    });
}

void read_objectives(settings &read, const section &cluster) {
    cluster.each_table("objectives", [&](const section &section) {
        const auto &table = section.table();
        objective next;
        next.kind = table["kind"].value_or(std::string());
        next.job_class = table["class"].value_or(std::string());
        next.share = table["share"].value_or(0.0);
        next.deadline_factor = table["times"].value_or(0.0);
        next.time_limit = seconds{table["within_s"].value_or(0.0)};
        read.objectives.push_back(next);
    });
}

void read_workers(settings &read, const section &workers) {
    read.heartbeat_interval = seconds{workers.number("report_s", 0.1)};
    read.lease_duration = seconds{workers.number("lease_s", 1)};
    read.cancel_deadline = seconds{workers.number("cancel_s", 1)};
}

// The limits that the key-value store will have from some moment on, without notice.
void read_coming_limits(settings &read, const section &next) {
    read.value_kb = std::min(read.value_kb, next.number_or("value_kb", 2, read.value_kb));
    auto operations = next.number_or("txn_ops", 2, static_cast<double>(read.txn_ops));
    read.txn_ops = std::min(read.txn_ops, static_cast<int>(operations));
    double rate = next.number_or("write_rps", 1, read.key_value_write_rps);
    if (rate < read.key_value_write_rps)
        read.next_key_value_write_rps = rate;
}

void read_state(settings &read, const section &state) {
    read.key_value_rps = state.number("rps", 1);
    read.key_value_write_rps = state.number("write_rps", 1);
    read.value_kb = state.number("value_kb", 2);
    read.txn_ops = static_cast<int>(state.number("txn_ops", 2));
    if (state.has("next"))
        read_coming_limits(read, state.subsection("next"));
}

void read_cloud(settings &read, const section &cloud) {
    read.cloud_rps = cloud.number("rps", 0.1);
    read.machine_list_lag = seconds{cloud.number("list_lag_s", 0)};
}

void read_machine_limits(settings &read, const section &limits) {
    read.core_share = limits.number("core_share", 0.001);
    read.ram_mb = limits.number("ram_mb", 8);
    read.max_connections = static_cast<int>(limits.number("max_connections", 16));
}

void read_cluster(settings &read, const section &cluster) {
    read.max_clock_error = seconds{cluster.number_or("time_bound_ms", 0, 1000) / ms_per_second};
    read_teams(read, cluster);
    read_objectives(read, cluster);
    read_workers(read, cluster.subsection("workers"));
    read_state(read, cluster.subsection("state"));
    read_cloud(read, cluster.subsection("cloud"));
    read_machine_limits(read, cluster.subsection("machine_limits"));
}

} // namespace

settings parse(const std::string &toml_text, const std::string &origin) {
    auto table = parse_toml(toml_text, origin);
    section root(table, "");
    settings read;
    read_node(read, root);
    read_members(read, root);
    read_services(read, root.subsection("services"));
    read_cluster(read, root.subsection("cluster"));
    return read;
}

settings load(const std::string &path) {
    auto text = read_file(path);
    try {
        return parse(text, path);
    } catch (const settings_error &error) {
        std::string what = error.what();
        if (what.starts_with(path))
            throw;
        fail(path, what);
    }
}

} // namespace spindlecroft::settings
