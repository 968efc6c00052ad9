// Finds machines that are silent, unreachable, reclaimed or otherwise unusable and deletes them.
#pragma once
#include "common/time.hpp"
#include "fleet/deletion_reason.hpp"
#include "model/cluster_state.hpp"
#include "settings/settings.hpp"
#include "workers/machine.hpp"
#include <map>
#include <optional>
#include <string>

namespace spindlecroft::fleet {

/// Marks silent machines and requests the deletion of unusable ones. When many machines fall silent
/// at once they are spared for some time: a network partition of those machines, or of this
/// process, is more likely than their simultaneous failure.
class machine_health {
  public:
    machine_health(const settings::settings &settings, model::cluster_state &state)
        : settings_(settings), state_(state) {}

    /// Checks all machines once.
    void check(time_point now);

  private:
    /// Counts of the machines in a group and of those without a recent heartbeat.
    struct silence_tally {
        double observed = 0, possibly_silent = 0;
        [[nodiscard]] bool looks_partitioned(double min_observed, double share) const {
            return observed > min_observed && possibly_silent > share * observed;
        }
    };
    struct silence_survey {
        silence_tally all;
        std::map<std::string, silence_tally> zones;
    };

    /// The time since the last sign of life; zero for a machine that has not come up.
    [[nodiscard]] seconds silent_for(const workers::machine &machine, time_point now) const;
    /// Updates the silence marks of all machines and counts the silent ones per zone.
    silence_survey survey_silence(time_point now);
    [[nodiscard]] bool is_zone_suspected_partitioned(const std::string &zone, time_point now) const;
    /// is_suspected_partition: the machine's zone, or the whole fleet, looks partitioned.
    [[nodiscard]] std::optional<deletion_reason> reason_to_delete(const workers::machine &machine,
                                                                  bool is_suspected_partition,
                                                                  time_point now) const;

    const settings::settings &settings_;
    model::cluster_state &state_;
    std::map<std::string, time_point> zone_suspected_until_;
};

} // namespace spindlecroft::fleet
