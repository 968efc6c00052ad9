// One planning round: places tasks on the machines with the lowest bids, team by team in turn, and
// creates attempts for the tasks that fit at once (docs/design.md, "The ordinary path").
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

/// Plans the placement of waiting tasks.
class round_planner {
  public:
    round_planner(const settings::settings &settings, model::cluster_state &state,
                  attempt_created_callback on_created);
    // Not copyable: the members refer to one another.
    ~round_planner() = default;
    round_planner(const round_planner &) = delete;
    round_planner &operator=(const round_planner &) = delete;

    /// Empties all worker queues, so that their tasks are bid for again, if a machine is idle while
    /// tasks wait in the queues of others.
    void rebid_queued(time_point now);
    /// Bids for waiting tasks, then starts the queued tasks that fit.
    void plan(time_point now);

    [[nodiscard]] bidder_table &bidders() { return bidders_; }
    [[nodiscard]] const quota_accounting &quota() const { return quota_; }
    [[nodiscard]] std::uint64_t preempted_tasks() const { return preemption_.preempted_tasks(); }

  private:
    using turns_by_team = std::map<std::string, std::vector<service_turn>>;
    /// The machine whose queue a task joins.
    struct placement {
        planning::bidder *bidder = nullptr;
        /// Whether the task goes ahead of queued tasks of equal priority, because a running task
        /// was preempted for it.
        bool ahead_of_equals = false;
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
    void enqueue(const placement &target, catalog::job &job, std::uint32_t index, seconds estimate);

    const settings::settings &settings_;
    model::cluster_state &state_;
    quota_accounting quota_;
    bidder_table bidders_;
    preemption preemption_;
    queue_starter starter_;
    std::optional<time_point> last_rebid_;
};

} // namespace spindlecroft::planning
