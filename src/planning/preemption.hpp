// Stops running work for other work: for a team's guarantee, and for queued work of higher priority
// (PROTOCOL, "Preemption").
#pragma once
#include "model/cluster_state.hpp"
#include "planning/bidder.hpp"
#include "planning/bidder_table.hpp"
#include "planning/placement_rules.hpp"
#include "planning/quota_accounting.hpp"
#include <cstdint>
#include <vector>

namespace spindlecroft::planning {

// The time to save a checkpoint that a stopped task gets. Work that does not save would only run on
// for nothing.
[[nodiscard]] seconds stop_grace(const job_spec &spec);

// What runs on a machine, as seen by the tasks in its queue.
struct machine_load {
    bidding::resources free; // not held by any task
    std::vector<catalog::attempt *>
        preemptible;                // running work that may be below others in priority
    bool has_stopping_task = false; // a task there is being stopped already
};

class preemption {
  public:
    preemption(model::cluster_state &state, quota_accounting &quota, bidder_table &bidders)
        : state_(state), quota_(quota), bidders_(bidders) {}

    // Forgets what could be stopped in the round before.
    void begin_round();
    // Stops the latest work that another team runs beyond its own guarantee for a task of the job.
    // Returns the machine on which it was stopped; null if there is none.
    bidder *preempt_for_guarantee(const catalog::job &job,
                                  const std::vector<bidder *> &round_bidders, time_point now);
    // Stops work of lower priority for a queued task that does not fit. True: the task may start
    // behind the commands to stop, and the load counts them as gone.
    bool preempt_for_queued(machine_load &load, const job_spec &spec, priority_class priority);
    // The tasks stopped for others so far.
    [[nodiscard]] std::uint64_t preempted_tasks() const { return preempted_tasks_; }

  private:
    // Running work of an array that could be stopped for a guarantee.
    struct candidate {
        time_point created_at{};
        catalog::task_ref task;
    };
    void collect_candidates(const std::vector<bidder *> &round_bidders);
    // The candidate's attempt, if a task of the job may take its place now.
    [[nodiscard]] catalog::attempt *preemptible_attempt(const job_spec &spec,
                                                        const candidate &which);
    // The machine of the attempt, if it may take a task of the job.
    [[nodiscard]] bidder *bidder_for(const job_spec &spec, const catalog::attempt &which,
                                     const allowed_classes &allowed, time_point now);
    void sort_latest_of_lowest_first(std::vector<catalog::attempt *> &attempts) const;
    void preempt(catalog::attempt &which, seconds grace);

    model::cluster_state &state_;
    quota_accounting &quota_;
    bidder_table &bidders_;
    bool candidates_collected_ = false;
    std::vector<candidate> candidates_; // of this round, the latest first
    std::uint64_t preempted_tasks_ = 0;
};

} // namespace spindlecroft::planning
