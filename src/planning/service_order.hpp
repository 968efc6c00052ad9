// The order in which a team's waiting jobs of one priority are served in a planning round.
#pragma once
#include "fairness/team_order.hpp"
#include "model/cluster_state.hpp"
#include "planning/bidder.hpp"
#include "settings/settings.hpp"
#include <cstdint>
#include <vector>

namespace spindlecroft::planning {

/// A job's turn in a planning round.
struct service_turn {
    catalog::job *job = nullptr;
    /// Maximum number of tasks placed in this turn.
    std::uint32_t max_tasks = fairness::all_tasks;
};

/// Returns the properties of the job that its place in the order depends on: its due times, its
/// remaining work and its wait time.
[[nodiscard]] fairness::waiting_job make_waiting_job(const settings::settings &settings,
                                                     const model::cluster_state &state,
                                                     const catalog::job &job, time_point now);

/// Returns how many tasks like the job's may run at once on the machines, within the team's CPU
/// limit. team: null if unknown.
[[nodiscard]] double slots_for(const job_spec &spec, const std::vector<bidder *> &bidders,
                               const settings::team *team);

/// Orders the turns of one team, each of a different job. The turn to be served first comes last,
/// so that served turns are removed from the back.
void order_turns(std::vector<service_turn> &turns, const settings::settings &settings,
                 const model::cluster_state &state, double slots, time_point now);

} // namespace spindlecroft::planning
