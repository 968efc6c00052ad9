// Three controller processes, each of the version in production or of the present one, on loopback.
#pragma once
#include "cluster_stand_ins.hpp"
#include <array>
#include <filesystem>
#include <string>
#include <sys/types.h>

namespace spindlecroft::test {

enum class version { production, present };

class process_cluster : public controllers {
  public:
    explicit process_cluster(const std::string &name);
    // NOLINTNEXTLINE(bugprone-exception-escape): a throw here may end the test program
    ~process_cluster() override;
    process_cluster(const process_cluster &) = delete;
    process_cluster &operator=(const process_cluster &) = delete;

    void start(std::size_t node, version what);
    // Kills without a signal that the process could handle, as the machine's end would.
    void kill(std::size_t node);
    void replace(std::size_t node, version what) {
        kill(node);
        start(node, what);
    }

  private:
    void write_settings(std::size_t node) const;
    std::filesystem::path folder_;
    std::array<pid_t, 3> pids_{};
};

} // namespace spindlecroft::test
