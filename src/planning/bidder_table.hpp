// The machines' figures (free resources, queued work, images), kept between rounds of bids and
// worked out anew only where something changed: at full size that is a small part.
#pragma once
#include "model/cluster_state.hpp"
#include "planning/bidder.hpp"
#include "settings/settings.hpp"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace spindlecroft::planning {

class bidder_table {
  public:
    bidder_table(const settings::settings &settings, model::cluster_state &state)
        : settings_(settings), state_(state) {}

    // The machines that may get work now, by name, with what they hold brought up to date. They
    // stay valid until the next call.
    std::vector<bidder *> eligible_bidders(time_point now);
    // The machine as it last bid; null if it never did.
    [[nodiscard]] bidder *find(const std::string &machine);

  private:
    // The time until a machine that may get work is up; nothing: it may not get any.
    [[nodiscard]] std::optional<seconds> time_until_up(const workers::machine &machine,
                                                       time_point now) const;
    void refresh(bidder &entry, time_point now);
    void add_attempts(bidder &entry, time_point now);
    void add_queued_tasks(bidder &entry);

    const settings::settings &settings_;
    model::cluster_state &state_;
    std::map<std::string, bidder> bidders_; // by machine, as last worked out
};

} // namespace spindlecroft::planning
