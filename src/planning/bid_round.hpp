// The bids of one planning round: finds the lowest bid among all machines for one task after
// another (the ordinary path of the paper; docs/design.md, "The ordinary path").
#pragma once
#include "model/cluster_state.hpp"
#include "planning/bidder.hpp"
#include "planning/placement_rules.hpp"
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace spindlecroft::planning {

/// A machine's bid for one task within a round.
struct round_bid {
    planning::bidder *bidder = nullptr;
    /// Time until the task would end, including penalties for preemption and displaced slots.
    seconds finish_time{};
    seconds queue_time{};
    /// The bidder's version when the bid was computed. A bid with another version is outdated.
    std::uint32_t bidder_version = 0;
    /// Orders a heap with the lowest finish time on top. Equal bids go by the bidder's position.
    bool operator<(const round_bid &other) const {
        return finish_time != other.finish_time ? finish_time > other.finish_time
                                                : bidder->position > other.bidder->position;
    }
};

/// Selects machines for the tasks of one round.
///
/// With thousands of tasks and thousands of machines, computing every bid for every task is too
/// slow. The bids are therefore cached per job, and only those that a placement changed are
/// computed again.
class bid_round {
  public:
    /// Numbers the bidders in the given order: the first of several equal bids wins.
    bid_round(const model::cluster_state &state, std::vector<bidder *> bidders);

    [[nodiscard]] const std::vector<bidder *> &bidders() const { return bidders_; }
    /// Returns the lowest bid for one more task of the job, or nothing if no machine bids.
    [[nodiscard]] std::optional<round_bid> best_bid(const catalog::job &job, time_point now);
    /// Records that a task of the job with this run time estimate joined the winner's queue, which
    /// raises the winner's next bids.
    void task_queued(bidder &winner, const catalog::job &job, seconds estimate);

  private:
    /// The properties of a job's next task that bids depend on.
    struct bid_request {
        const catalog::job &job;
        const allowed_classes &allowed;
        seconds expected{};       // run time on a machine of speed 1
        bool some_failed = false; // attempts of the job failed on some machines, but not on all
        time_point now{};
    };
    /// The requirements that decide whether any machine bids. Jobs with equal requirements get the
    /// same result.
    struct requirements {
        double cpus = 0, gpus = 0, memory_gb = 0;
        bool service = false, critical = false;
        allowed_classes allowed;
        // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted operator<=>.
        auto operator<=>(const requirements &) const = default;
    };
    /// The cached bids for the tasks of one job.
    struct job_bids {
        std::vector<round_bid> heap;
        /// Number of entries of fetching_by_image_ for the job's image that the heap includes.
        std::size_t fetching_processed = 0;
    };

    /// Returns the machine's bid, or nothing if the task does not fit, may not run there or would
    /// wait too long.
    [[nodiscard]] std::optional<round_bid> bid_of(const bid_request &request,
                                                  bidder &candidate) const;
    [[nodiscard]] std::optional<round_bid> find_best_bid(const bid_request &request) const;
    [[nodiscard]] std::optional<round_bid> find_best_cached_bid(const bid_request &request);
    [[nodiscard]] job_bids &cached_bids_for(const bid_request &request);
    void push_bid(std::vector<round_bid> &heap, const bid_request &request,
                  bidder &candidate) const;

    const model::cluster_state &state_;
    std::vector<bidder *> bidders_;
    std::map<std::string, job_bids> cached_bids_; // by job
    /// The machines that began to fetch an image in this round, by image. Their bids for tasks with
    /// that image became lower.
    std::map<std::uint32_t, std::vector<bidder *>> fetching_by_image_;
    /// Requirements for which no machine bids any more in this round.
    std::set<requirements> unmet_requirements_;
};

} // namespace spindlecroft::planning
