// The bids within one round: the lowest bid among all machines for one task after another (the
// paper's ordinary path; docs/design.md, "The ordinary path").
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

struct round_bid {
    planning::bidder *bidder = nullptr;
    seconds finish_time{};
    seconds queue_time{};
    std::uint32_t bidder_version = 0; // of the bidder when it bid
    // For a heap with the best bid on top.
    bool operator<(const round_bid &other) const {
        return finish_time != other.finish_time ? finish_time > other.finish_time
                                                : bidder->position > other.bidder->position;
    }
};

// At full size thousands of tasks bid among thousands of machines: a job keeps the machines' bids,
// and only what a placement changed is worked out anew.
class bid_round {
  public:
    // Numbers the bidders in the given order: of equal bids the first wins.
    bid_round(const model::cluster_state &state, std::vector<bidder *> bidders);

    [[nodiscard]] const std::vector<bidder *> &bidders() const { return bidders_; }
    // The lowest bid among all machines for one more task of the job, if any machine bids.
    [[nodiscard]] std::optional<round_bid> best_bid(const catalog::job &job, time_point now);
    // A task of the job, with this estimate, joined the winner's queue: its next bids are higher.
    void task_queued(bidder &winner, const catalog::job &job, seconds estimate);

  private:
    // What is asked of the machines for one task of a job.
    struct bid_request {
        const catalog::job &job;
        const allowed_classes &allowed;
        seconds expected{};       // run time on an ordinary machine
        bool some_failed = false; // attempts of the job failed on some machines, but not on all
        time_point now{};
    };
    // Whether any machine bids depends on nothing else of a job.
    struct requirements {
        double cpus = 0, gpus = 0, memory_gb = 0;
        bool service = false, critical = false;
        allowed_classes allowed;
        // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted operator<=>.
        auto operator<=>(const requirements &) const = default;
    };
    // The bids for the tasks of one job.
    struct job_bids {
        std::vector<round_bid> heap;
        std::size_t fetching_processed = 0; // of the machines in fetching_ for the job's image
    };

    // What the machine bids; nothing: it has too little free, or not in time.
    [[nodiscard]] std::optional<round_bid> bid_of(const bid_request &asked, bidder &machine) const;
    [[nodiscard]] std::optional<round_bid> find_best_bid(const bid_request &asked) const;
    [[nodiscard]] std::optional<round_bid> find_best_cached_bid(const bid_request &asked);
    [[nodiscard]] job_bids &cached_bids_for(const bid_request &asked);
    void push_bid(std::vector<round_bid> &heap, const bid_request &asked, bidder &machine) const;

    const model::cluster_state &state_;
    std::vector<bidder *> bidders_;
    std::map<std::string, job_bids> cached_bids_; // by job
    // Machines that began to fetch an image in this round: their bids for it fell.
    std::map<std::uint32_t, std::vector<bidder *>> fetching_by_image_;
    std::set<requirements> unmet_requirements_; // needs for which no machine bids any more
};

} // namespace spindlecroft::planning
