// Three controller processes on loopback, each running the production or the present version.
#pragma once
#include "cluster_stand_ins.hpp"
#include <array>
#include <filesystem>
#include <string>
#include <sys/types.h>

namespace spindlecroft::test {

// The version in production or the one built from this source tree.
enum class version { production, present };

class process_cluster : public controllers {
  public:
    explicit process_cluster(const std::string &name);
    // NOLINTNEXTLINE(bugprone-exception-escape): a throw here may end the test program
    ~process_cluster() override;
    process_cluster(const process_cluster &) = delete;
    process_cluster &operator=(const process_cluster &) = delete;

    void start(std::size_t node, version release);
    // Kills the controller with SIGKILL, which it can't handle, as a machine failure would.
    void kill(std::size_t node);
    void replace(std::size_t node, version release) {
        kill(node);
        start(node, release);
    }

  private:
    // Writes the settings file of the controller in a form that both versions read.
    void write_settings(std::size_t node) const;
    std::filesystem::path folder_;
    std::array<pid_t, 3> pids_{};
};

} // namespace spindlecroft::test
