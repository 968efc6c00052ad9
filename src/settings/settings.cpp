#include "settings/settings.hpp"
#include "constants.hpp"
#include <boost/asio/ip/address_v4.hpp>
#include <charconv>
#include <cmath>
#include <cstring>
#include <fmt/format.h>
#include <fstream>
#include <memory>
#include <set>
#include <sfsexp/sexp.h>
#include <sstream>
#include <toml++/toml.h>

namespace spindlecroft::settings {

operator_options::operator_options()
    : spare_replicas(constants::spare_replicas), drain_target(constants::drain_target),
      fleet_limit(constants::fleet_limit) {}

const team *settings::find_team(const std::string &name) const {
    for (const auto &t : teams)
        if (t.name == name)
            return &t;
    return nullptr;
}

std::size_t settings::value_bytes() const {
    return static_cast<std::size_t>(value_kb * 1024) - constants::value_margin;
}

namespace {

[[noreturn]] void fail(const std::string &key, const std::string &what) {
    throw settings_error(fmt::format("{}: {}", key, what));
}

std::string read_file(const std::string &path) {
    std::ifstream in(path, std::ios::binary);
    if (!in)
        fail(path, "cannot be read");
    std::ostringstream out;
    out << in.rdbuf();
    if (in.bad())
        fail(path, "cannot be read");
    return out.str();
}

const toml::table &table_at(const toml::table &root, const std::string &key,
                            const std::string &prefix) {
    auto full = prefix.empty() ? key : prefix + "." + key;
    const auto *node = root.get(key);
    if (!node)
        fail(full, "is missing");
    if (!node->is_table())
        fail(full, "must be a table");
    return *node->as_table();
}

std::string text_at(const toml::table &t, const std::string &key, const std::string &prefix) {
    auto full = prefix.empty() ? key : prefix + "." + key;
    const auto *node = t.get(key);
    if (!node)
        fail(full, "is missing");
    auto v = node->value_exact<std::string>();
    if (!v)
        fail(full, "must be a text");
    if (v->empty())
        fail(full, "must not be empty");
    return *v;
}

double number_at(const toml::table &t, const std::string &key, const std::string &prefix,
                 double least, std::optional<double> fallback = {}) {
    auto full = prefix.empty() ? key : prefix + "." + key;
    const auto *node = t.get(key);
    if (!node) {
        if (fallback)
            return *fallback;
        fail(full, "is missing");
    }
    if (!node->is_number())
        fail(full, "must be a number");
    double v = *node->value<double>();
    if (!std::isfinite(v) || v < least)
        fail(full, fmt::format("must be at least {}", least));
    return v;
}

// The limits that the key-value store will have from some moment on, without notice.
void read_coming_limits(settings &s, const toml::table &next) {
    const std::string prefix = "cluster.state.next";
    s.value_kb = std::min(s.value_kb, number_at(next, "value_kb", prefix, 2, s.value_kb));
    auto ops = number_at(next, "txn_ops", prefix, 2, static_cast<double>(s.txn_ops));
    s.txn_ops = std::min(s.txn_ops, static_cast<int>(ops));
    double rate = number_at(next, "write_rps", prefix, 1, s.state_write_rps);
    if (rate < s.state_write_rps)
        s.next_state_write_rps = rate;
}

} // namespace

address parse_address(const std::string &text, const std::string &key) {
    auto colon = text.rfind(':');
    if (colon == std::string::npos)
        fail(key, fmt::format("'{}' is not HOST:PORT", text));
    address a;
    a.host = text.substr(0, colon);
    unsigned port = 0;
    auto end = text.data() + text.size();
    auto [p, ec] = std::from_chars(text.data() + colon + 1, end, port);
    if (ec != std::errc() || p != end || port == 0 || port > 65535)
        fail(key, fmt::format("'{}' has no valid port", text));
    boost::system::error_code bad;
    boost::asio::ip::make_address_v4(a.host, bad);
    if (bad)
        fail(key, fmt::format("'{}' is not an IPv4 number", text));
    a.port = static_cast<unsigned short>(port);
    return a;
}

settings parse(const std::string &toml_text, const std::string &origin) {
    toml::table root;
    try {
        root = toml::parse(toml_text, origin);
    } catch (const toml::parse_error &e) {
        fail(origin, fmt::format("line {}: {}", e.source().begin.line, e.description()));
    }
    settings s;
    s.node = text_at(root, "member", "");
    s.zone = text_at(root, "location", "");
    s.api = parse_address(text_at(root, "api_addr", ""), "api_addr");
    s.back = parse_address(text_at(root, "back", ""), "back");
    if (const auto *node = root.get("members")) {
        if (!node->is_array())
            fail("members", "must be a list of tables");
        std::set<std::string> seen{s.node};
        for (const auto &item : *node->as_array()) {
            if (!item.is_table())
                fail("members", "must be a list of tables");
            const auto &t = *item.as_table();
            member m;
            m.name = text_at(t, "member", "members");
            m.zone = text_at(t, "location", "members");
            m.back = parse_address(text_at(t, "addr", "members"), "members.addr");
            if (!seen.insert(m.name).second)
                fail("members.member", fmt::format("'{}' is named twice", m.name));
            s.members.push_back(m);
        }
    }
    const auto &services = table_at(root, "services", "");
    s.cloud = parse_address(text_at(services, "cloud", "services"), "services.cloud");
    s.state = parse_address(text_at(services, "state", "services"), "services.state");
    const auto &cluster = table_at(root, "cluster", "");
    s.clock_bound = seconds{number_at(cluster, "time_bound_ms", "cluster", 0, 1000.0) / 1000};
    if (const auto *node = cluster.get("teams")) {
        if (!node->is_array())
            fail("cluster.teams", "must be a list of tables");
        for (const auto &item : *node->as_array()) {
            if (!item.is_table())
                fail("cluster.teams", "must be a list of tables");
            const auto &t = *item.as_table();
            team m;
            m.name = text_at(t, "name", "cluster.teams");
            m.cpus = number_at(t, "cpus", "cluster.teams", 0, 0.0);
            m.cpus_max = number_at(t, "cpus_max", "cluster.teams", 0, 0.0);
            m.gpus = number_at(t, "gpus", "cluster.teams", 0, 0.0);
            m.gpus_max = number_at(t, "gpus_max", "cluster.teams", 0, 0.0);
            if (m.cpus_max > 0 && m.cpus > m.cpus_max)
                fail("cluster.teams.cpus", "must not exceed cpus_max");
            if (m.gpus_max > 0 && m.gpus > m.gpus_max)
                fail("cluster.teams.gpus", "must not exceed gpus_max");
            if (s.find_team(m.name))
                fail("cluster.teams.name", fmt::format("'{}' is named twice", m.name));
            s.teams.push_back(m);
        }
    }
    if (const auto *node = cluster.get("objectives")) {
        if (!node->is_array())
            fail("cluster.objectives", "must be a list of tables");
        for (const auto &item : *node->as_array()) {
            if (!item.is_table())
                fail("cluster.objectives", "must be a list of tables");
            const auto &t = *item.as_table();
            objective o;
            o.kind = t["kind"].value_or(std::string());
            o.job_class = t["class"].value_or(std::string());
            o.share = t["share"].value_or(0.0);
            o.times = t["times"].value_or(0.0);
            o.within = seconds{t["within_s"].value_or(0.0)};
            s.objectives.push_back(o);
        }
    }
    const auto &workers = table_at(cluster, "workers", "cluster");
    s.heartbeat_interval = seconds{number_at(workers, "report_s", "cluster.workers", 0.1)};
    s.lease_duration = seconds{number_at(workers, "lease_s", "cluster.workers", 1)};
    s.cancel_deadline = seconds{number_at(workers, "cancel_s", "cluster.workers", 1)};
    const auto &state = table_at(cluster, "state", "cluster");
    s.state_rps = number_at(state, "rps", "cluster.state", 1);
    s.state_write_rps = number_at(state, "write_rps", "cluster.state", 1);
    s.value_kb = number_at(state, "value_kb", "cluster.state", 2);
    s.txn_ops = static_cast<int>(number_at(state, "txn_ops", "cluster.state", 2));
    if (state.get("next"))
        read_coming_limits(s, table_at(state, "next", "cluster.state"));
    const auto &cloud = table_at(cluster, "cloud", "cluster");
    s.cloud_rps = number_at(cloud, "rps", "cluster.cloud", 0.1);
    s.list_lag = seconds{number_at(cloud, "list_lag_s", "cluster.cloud", 0)};
    const auto &limits = table_at(cluster, "machine_limits", "cluster");
    s.core_share = number_at(limits, "core_share", "cluster.machine_limits", 0.001);
    s.ram_mb = number_at(limits, "ram_mb", "cluster.machine_limits", 8);
    s.max_connections =
        static_cast<int>(number_at(limits, "max_connections", "cluster.machine_limits", 16));
    return s;
}

settings load(const std::string &path) {
    auto text = read_file(path);
    try {
        return parse(text, path);
    } catch (const settings_error &e) {
        std::string what = e.what();
        if (what.starts_with(path))
            throw;
        fail(path, what);
    }
}

// The operators' file: (spindlecroft (spare-replicas 2) (drain-target-s 20) (spot yes) ...).
// Unlike the platform's file an unknown field here is a slip of the operator's, so it is an error.
operator_options parse_operator(const std::string &text, const std::string &origin) {
    operator_options o;
    std::string copy = text;
    std::unique_ptr<sexp_t, void (*)(sexp_t *)> root(parse_sexp(copy.data(), copy.size()),
                                                     destroy_sexp);
    if (!root || root->ty != SEXP_LIST || !root->list || root->list->ty != SEXP_VALUE ||
        !root->list->val || std::strcmp(root->list->val, "spindlecroft") != 0)
        fail(origin, "must be one list that begins with spindlecroft");
    std::set<std::string> seen;
    for (auto *e = root->list->next; e; e = e->next) {
        if (e->ty != SEXP_LIST || !e->list || e->list->ty != SEXP_VALUE || !e->list->val)
            fail(origin, "every entry must be a list (NAME VALUE)");
        std::string name = e->list->val;
        auto place = fmt::format("{}: {}", origin, name);
        auto *v = e->list->next;
        if (!v || v->ty != SEXP_VALUE || !v->val || v->next)
            fail(place, "must have exactly one value");
        if (!seen.insert(name).second)
            fail(place, "is set twice");
        std::string value = v->val;
        auto number = [&](double least, double most) {
            double n = 0;
            auto [p, ec] = std::from_chars(value.data(), value.data() + value.size(), n);
            if (ec != std::errc() || p != value.data() + value.size() || !(n >= least) ||
                !(n <= most))
                fail(place, fmt::format("'{}' must be a number from {} to {}", value, least, most));
            return n;
        };
        if (name == "spare-replicas")
            o.spare_replicas = static_cast<int>(number(0, 1000));
        else if (name == "drain-target-s")
            o.drain_target = seconds{number(1, 3600)};
        else if (name == "fleet-limit")
            o.fleet_limit = static_cast<int>(number(1, 100000));
        else if (name == "spot") {
            if (value != "yes" && value != "no")
                fail(place, "must be yes or no");
            o.spot = value == "yes";
        } else
            fail(place, "is not a known setting");
    }
    return o;
}

operator_options load_operator(const std::string &path) {
    return parse_operator(read_file(path), path);
}

// Guards against a fleet that takes every socket: workers' connections, commands to them, users and
// other controllers each have a part that the others can't use up.
socket_plan plan_sockets(int max_connections) {
    namespace c = constants;
    auto all = static_cast<std::size_t>(std::max(max_connections, 0));
    auto share = [&](double part) {
        return static_cast<std::size_t>(part * static_cast<double>(all));
    };
    socket_plan p;
    p.commands = std::max<std::size_t>(1, share(c::command_sockets));
    p.back = std::max(c::back_sockets_least, share(c::back_sockets));
    auto rest = p.commands + p.back + c::other_sockets;
    p.api = all > 2 * rest ? all - rest : std::max<std::size_t>(1, all / 2);
    return p;
}

} // namespace spindlecroft::settings
