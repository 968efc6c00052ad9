// Scale in: requests the deletion of idle machines and passes deletions to the cloud.
#pragma once
#include "common/time.hpp"
#include "model/cluster_state.hpp"
#include <set>
#include <string>
#include <vector>

namespace spindlecroft::fleet {

/// Deletes idle machines and tracks the deletion calls to the cloud.
class scale_in {
  public:
    explicit scale_in(model::cluster_state &state) : state_(state) {}

    /// Requests the deletion of machines that have been idle for longer than their boot cost
    /// justifies. spare: the names of machines kept as spare capacity.
    void delete_idle(const std::set<std::string> &spare, time_point now);

    /// Returns the machines to delete in the next call to the cloud.
    [[nodiscard]] std::vector<std::string> take_deletions(time_point now);
    void on_deleted(const std::vector<std::string> &machines, time_point now);
    /// To be called when a call failed; its deletions are requested again.
    void on_delete_failed(const std::vector<std::string> &machines);

  private:
    model::cluster_state &state_;
};

} // namespace spindlecroft::fleet
