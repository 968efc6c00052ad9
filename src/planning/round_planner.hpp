// One round of planning: tasks go to the machines with the lowest bids, team by team in turn, and
// what fits at once becomes attempts (docs/design.md, "The ordinary path").
#pragma once
#include "model/cluster_state.hpp"
#include "planning/bid_round.hpp"
#include "planning/bidder_table.hpp"
#include "planning/preemption.hpp"
#include "planning/queue_starter.hpp"
#include "planning/quota_accounting.hpp"
#include "planning/service_order.hpp"
#include "settings/settings.hpp"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace spindlecroft::planning {

class round_planner {
  public:
    round_planner(const settings::settings &settings, model::cluster_state &state,
                  attempt_created_callback on_created);
    // The parts refer to one another.
    ~round_planner() = default;
    round_planner(const round_planner &) = delete;
    round_planner &operator=(const round_planner &) = delete;

    // Empties the worker queues, so that their tasks are bid again, if a machine stands idle while
    // tasks wait elsewhere.
    void rebid_queued(time_point now);
    // Bids for waiting tasks, then starts what fits.
    void plan(time_point now);

    [[nodiscard]] bidder_table &bidders() { return bidders_; }
    [[nodiscard]] const quota_accounting &quota() const { return quota_; }
    [[nodiscard]] std::uint64_t preempted_tasks() const { return preemption_.preempted_tasks(); }

  private:
    using turns_by_team = std::map<std::string, std::vector<service_turn>>;
    // Where a task goes.
    struct placement {
        planning::bidder *bidder = nullptr;
        bool ahead_of_equals = false; // other work was stopped for it
    };

    [[nodiscard]] bool has_idle_machine_while_tasks_wait() const;
    void place_waiting_tasks(priority_class priority, bid_round &round, int &turns_taken,
                             time_point now);
    [[nodiscard]] turns_by_team collect_turns(priority_class priority, const bid_round &round,
                                              time_point now);
    [[nodiscard]] turns_by_team::iterator next_team(turns_by_team &teams) const;
    bool place_one(catalog::job &job, bid_round &round, time_point now);
    [[nodiscard]] std::optional<placement> choose_machine(const catalog::job &job, bid_round &round,
                                                          time_point now);
    void enqueue(const placement &where, catalog::job &job, std::uint32_t index, seconds estimate);

    const settings::settings &settings_;
    model::cluster_state &state_;
    quota_accounting quota_;
    bidder_table bidders_;
    preemption preemption_;
    queue_starter starter_;
    std::optional<time_point> last_rebid_;
};

} // namespace spindlecroft::planning
