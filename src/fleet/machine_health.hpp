// Which machines are silent, cut off, reclaimed or otherwise of no use, and are to be deleted.
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

// Marks silent machines and requests the deletion of those that are of no use. Machines that fall
// silent many at once are spared for a while: rather they, or this process, are cut off than dead.
class machine_health {
  public:
    machine_health(const settings::settings &settings, model::cluster_state &state)
        : settings_(settings), state_(state) {}

    void check(time_point now);

  private:
    // How many of some machines have been without a word for some time.
    struct silence_tally {
        double observed = 0, possibly_silent = 0;
        [[nodiscard]] bool looks_cut_off(double least, double share) const {
            return observed > least && possibly_silent > share * observed;
        }
    };
    struct silence_survey {
        silence_tally all;
        std::map<std::string, silence_tally> zones;
    };

    [[nodiscard]] seconds silent_for(const workers::machine &machine, time_point now) const;
    // Marks the machines that are silent.
    silence_survey survey_silence(time_point now);
    [[nodiscard]] bool is_zone_suspected_cut_off(const std::string &zone, time_point now) const;
    // in_doubt: the machine's zone, or all machines, look cut off.
    [[nodiscard]] std::optional<deletion_reason>
    reason_to_delete(const workers::machine &machine, bool in_doubt, time_point now) const;

    const settings::settings &settings_;
    model::cluster_state &state_;
    std::map<std::string, time_point> zone_suspected_until_;
};

} // namespace spindlecroft::fleet
