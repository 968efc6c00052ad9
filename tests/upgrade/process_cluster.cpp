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

static std::string text_of(const settings::address &a) {
    return fmt::format("{}:{}", a.host, a.port);
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
    auto &s = conf[node];
    std::ofstream out(folder_ / (s.node + ".toml"));
    out << fmt::format("member = \"{}\"\nlocation = \"a\"\napi_addr = \"{}\"\nback = \"{}\"\n",
                       s.node, text_of(s.api_address), text_of(s.peer_address));
    for (auto &m : s.peers)
        out << fmt::format("[[members]]\nmember = \"{}\"\nlocation = \"a\"\naddr = \"{}\"\n",
                           m.name, text_of(m.peer_address));
    out << fmt::format("[services]\ncloud = \"{}\"\nstate = \"{}\"\n[cluster]\ncount = 3\n",
                       text_of(s.cloud_address), text_of(s.key_value_address));
    for (auto &t : s.teams)
        out << fmt::format("[[cluster.teams]]\nname = \"{}\"\ncpus = {}\ncpus_max = {}\n", t.name,
                           t.cpus, t.cpus_max);
    out << fmt::format("[cluster.workers]\nreport_s = {}\nlease_s = {}\ncancel_s = {}\n",
                       s.heartbeat_interval.count(), s.lease_duration.count(),
                       s.cancel_deadline.count());
    out << fmt::format("[cluster.state]\nrps = {}\nwrite_rps = {}\nvalue_kb = {}\ntxn_ops = {}\n",
                       s.key_value_rps, s.key_value_write_rps, s.value_kb, s.txn_ops);
    out << "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 20.0\n";
    out << fmt::format("[cluster.cloud]\nrps = {}\nlist_lag_s = {}\n", s.cloud_rps,
                       s.machine_list_lag.count());
    out << "[cluster.machine_limits]\ncore_share = 0.5\nram_mb = 200.0\nmax_connections = 500\n";
}

void process_cluster::start(std::size_t node, version what) {
    std::string program = what == version::present ? SPINDLECROFT_PRESENT : SPINDLECROFT_PRODUCTION;
    std::string config = "--config", path = (folder_ / (conf[node].node + ".toml")).string();
    std::string log = (folder_ / (conf[node].node + ".log")).string();
    std::array<char *, 4> arguments{program.data(), config.data(), path.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    // No socket of this process lives on in the controllers.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    int failed =
        posix_spawn(&pids_[node], program.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
        throw std::runtime_error(program + " can't be started");
}

void process_cluster::kill(std::size_t node) {
    if (pids_[node] == 0)
        return;
    ::kill(pids_[node], SIGKILL);
    ::waitpid(pids_[node], nullptr, 0);
    pids_[node] = 0;
}

} // namespace spindlecroft::test
