// Stops running tasks in favour of others: for a team's guarantee, and for queued tasks of higher
// priority (PROTOCOL, "Preemption").
#pragma once
#include "model/cluster_state.hpp"
#include "planning/bidder.hpp"
#include "planning/bidder_table.hpp"
#include "planning/placement_rules.hpp"
#include "planning/quota_accounting.hpp"
#include <cstdint>
#include <vector>

namespace spindlecroft::planning {

/// Returns the grace period in which a stopped task may save a checkpoint. It is 0 for tasks
/// without checkpoints: the progress they would make in it is lost anyway.
[[nodiscard]] seconds stop_grace(const job_spec &spec);

/// The tasks on a machine, as its queue sees them.
struct machine_load {
    /// Resources that no task holds.
    bidding::resources free;
    /// Running tasks below critical priority that are not being stopped.
    std::vector<catalog::attempt *> preemptible;
    /// Whether a task on the machine is being stopped already.
    bool has_stopping_task = false;
};

/// Decides which running tasks are preempted, and requests their stop.
class preemption {
  public:
    preemption(model::cluster_state &state, quota_accounting &quota, bidder_table &bidders)
        : state_(state), quota_(quota), bidders_(bidders) {}

    /// Discards the candidates of the previous round.
    void begin_round();
    /// Preempts, for a task of the job, the latest task that another team runs beyond its own
    /// guarantee. Returns the bidder of the machine it ran on, or null if there is no such task.
    bidder *preempt_for_guarantee(const catalog::job &job,
                                  const std::vector<bidder *> &round_bidders, time_point now);
    /// Preempts tasks of lower priority for a queued task that does not fit. Returns whether the
    /// queued task may start right after the stop commands; the load then no longer includes the
    /// preempted tasks.
    bool preempt_for_queued(machine_load &load, const job_spec &spec, priority_class priority);
    /// Returns the number of tasks preempted so far.
    [[nodiscard]] std::uint64_t preempted_tasks() const { return preempted_tasks_; }

  private:
    /// A running array task that could be preempted for a guarantee.
    struct candidate {
        time_point created_at{};
        catalog::task_ref task;
    };
    void collect_candidates(const std::vector<bidder *> &round_bidders);
    /// Returns the candidate's attempt if a task of the job may take its place now, else null.
    [[nodiscard]] catalog::attempt *preemptible_attempt(const job_spec &spec,
                                                        const candidate &victim);
    /// Returns the bidder of the attempt's machine if it may take a task of the job, else null.
    [[nodiscard]] bidder *bidder_for(const job_spec &spec, const catalog::attempt &victim,
                                     const allowed_classes &allowed, time_point now);
    void sort_latest_of_lowest_first(std::vector<catalog::attempt *> &attempts) const;
    void preempt(catalog::attempt &victim, seconds grace);

    model::cluster_state &state_;
    quota_accounting &quota_;
    bidder_table &bidders_;
    bool candidates_collected_ = false;
    std::vector<candidate> candidates_; // of this round, the latest first
    std::uint64_t preempted_tasks_ = 0;
};

} // namespace spindlecroft::planning
