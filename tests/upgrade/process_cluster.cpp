#include "process_cluster.hpp"
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>

extern char **environ;

namespace spindlecroft::test {

namespace fs = std::filesystem;

static std::string text_of(const settings::address &address) {
    return fmt::format("{}:{}", address.host, address.port);
}

process_cluster::process_cluster(const std::string &name)
    : folder_(fs::temp_directory_path() / fmt::format("spindlecroft-{}-{}", name, ::getpid())) {
    fs::create_directories(folder_);
    for (std::size_t node = 0; node < conf.size(); ++node)
        write_settings(node);
}

// NOLINTNEXTLINE(bugprone-exception-escape): as declared
process_cluster::~process_cluster() {
    for (std::size_t node = 0; node < pids_.size(); ++node)
        kill(node);
    close();
    std::error_code ignored;
    fs::remove_all(folder_, ignored);
}

void process_cluster::write_settings(std::size_t node) const {
    auto &local = conf[node];
    std::ofstream out(folder_ / (local.node + ".toml"));
    out << fmt::format("member = \"{}\"\nlocation = \"a\"\napi_addr = \"{}\"\nback = \"{}\"\n",
                       local.node, text_of(local.api_address), text_of(local.peer_address));
    for (auto &peer : local.peers)
        out << fmt::format("[[members]]\nmember = \"{}\"\nlocation = \"a\"\naddr = \"{}\"\n",
                           peer.name, text_of(peer.peer_address));
    out << fmt::format("[services]\ncloud = \"{}\"\nstate = \"{}\"\n[cluster]\ncount = 3\n",
                       text_of(local.cloud_address), text_of(local.key_value_address));
    for (auto &team : local.teams)
        out << fmt::format("[[cluster.teams]]\nname = \"{}\"\ncpus = {}\ncpus_max = {}\n",
                           team.name, team.cpus, team.cpus_max);
    out << fmt::format("[cluster.workers]\nreport_s = {}\nlease_s = {}\ncancel_s = {}\n",
                       local.heartbeat_interval.count(), local.lease_duration.count(),
                       local.cancel_deadline.count());
    out << fmt::format("[cluster.state]\nrps = {}\nwrite_rps = {}\nvalue_kb = {}\ntxn_ops = {}\n",
                       local.key_value_rps, local.key_value_write_rps, local.value_kb,
                       local.txn_ops);
    out << "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 20.0\n";
    out << fmt::format("[cluster.cloud]\nrps = {}\nlist_lag_s = {}\n", local.cloud_rps,
                       local.machine_list_lag.count());
    out << "[cluster.machine_limits]\ncore_share = 0.5\nram_mb = 200.0\nmax_connections = 500\n";
}

void process_cluster::start(std::size_t node, version release) {
    std::string program =
        release == version::present ? SPINDLECROFT_PRESENT : SPINDLECROFT_PRODUCTION;
    std::string config = "--config", path = (folder_ / (conf[node].node + ".toml")).string();
    std::string log = (folder_ / (conf[node].node + ".log")).string();
    std::array<char *, 4> arguments{program.data(), config.data(), path.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    // The controllers must not inherit sockets of this process.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    int failed =
        posix_spawn(&pids_[node], program.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
        throw std::runtime_error(program + ": can't start the process");
}

void process_cluster::kill(std::size_t node) {
    if (pids_[node] == 0)
        return;
    ::kill(pids_[node], SIGKILL);
    ::waitpid(pids_[node], nullptr, 0);
    pids_[node] = 0;
}

} // namespace spindlecroft::test
