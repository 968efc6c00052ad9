// In which order a team's waiting jobs of one priority are served in a round.
#pragma once
#include "fairness/team_order.hpp"
#include "model/cluster_state.hpp"
#include "planning/bidder.hpp"
#include "settings/settings.hpp"
#include <cstdint>
#include <vector>

namespace spindlecroft::planning {

// A job's turn in a round of bids.
struct service_turn {
    catalog::job *job = nullptr;
    std::uint32_t max_tasks = fairness::all_tasks; // tasks in this turn
};

// What the order depends on: the job's due times, its remaining work and how long it waited.
[[nodiscard]] fairness::waiting_job make_waiting_job(const settings::settings &settings,
                                                     const model::cluster_state &state,
                                                     const catalog::job &job, time_point now);

// How many tasks like the job's may run at once, by the machines and by the team's limit, if any.
[[nodiscard]] double slots_for(const job_spec &spec, const std::vector<bidder *> &bidders,
                               const settings::team *team);

// Orders one team's turns, each of another job. The first to be served comes last, so that served
// turns are taken from the back.
void order_turns(std::vector<service_turn> &turns, const settings::settings &settings,
                 const model::cluster_state &state, double slots, time_point now);

} // namespace spindlecroft::planning
