// Withdraws machines: requests the deletion of idle ones and passes deletions on to the cloud.
#pragma once
#include "common/time.hpp"
#include "model/cluster_state.hpp"
#include <set>
#include <string>
#include <vector>

namespace spindlecroft::fleet {

class scale_in {
  public:
    explicit scale_in(model::cluster_state &state) : state_(state) {}

    // Requests the deletion of machines that have been idle for longer than their boot cost
    // justifies. spare: the names of machines that are kept as spare capacity.
    void delete_idle(const std::set<std::string> &spare, time_point now);

    // The machines to be named in the next call to the cloud.
    [[nodiscard]] std::vector<std::string> take_deletions(time_point now);
    void on_deleted(const std::vector<std::string> &machines, time_point now);
    // The call failed: the deletions are asked for again.
    void on_delete_failed(const std::vector<std::string> &machines);

  private:
    model::cluster_state &state_;
};

} // namespace spindlecroft::fleet
