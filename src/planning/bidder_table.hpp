// The bidders of all machines: their free resources, queued work and images. The table is kept
// between rounds, and a bidder is computed again only after its machine changed, which at full size
// few do between two rounds.
#pragma once
#include "model/cluster_state.hpp"
#include "planning/bidder.hpp"
#include "settings/settings.hpp"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace spindlecroft::planning {

/// Holds one bidder for each machine.
class bidder_table {
  public:
    bidder_table(const settings::settings &settings, model::cluster_state &state)
        : settings_(settings), state_(state) {}

    /// Returns the up-to-date bidders of the machines that may get work now, in the order of the
    /// machines' names. The pointers stay valid until the next call.
    std::vector<bidder *> eligible_bidders(time_point now);
    /// Returns the machine's bidder as of its last refresh, or null if it never was eligible.
    [[nodiscard]] bidder *find(const std::string &machine);

  private:
    /// Returns the time until the machine is up, or nothing if it may not get work.
    [[nodiscard]] std::optional<seconds> time_until_up(const workers::machine &machine,
                                                       time_point now) const;
    void refresh(bidder &entry, time_point now);
    void add_attempts(bidder &entry, time_point now);
    void add_queued_tasks(bidder &entry);

    const settings::settings &settings_;
    model::cluster_state &state_;
    std::map<std::string, bidder> bidders_; // by machine name
};

} // namespace spindlecroft::planning
