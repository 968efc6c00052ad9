// Computes the bids of machines for a task, and caches them per job so that the lowest bid is found
// without computing all of them for each task.
#include "planning/bid_round.hpp"
#include "constants.hpp"
#include <algorithm>

namespace spindlecroft::planning {

namespace {

// Whether a machine can run one more task, and whether others must be preempted for it.
struct fit {
    bool fits = false;
    bool needs_preemption = false;
};

fit check_fit(const job_spec &spec, const bidder &candidate) {
    bool critical = spec.priority == priority_class::critical;
    if (spec.shape == job_shape::service || critical) {
        // Services run until they are cancelled, so no task waits in a queue for their resources.
        const auto &available = critical ? candidate.free_for_critical : candidate.array_capacity;
        return {available.fits(spec), !candidate.free.fits(spec)};
    }
    if (!candidate.array_capacity.fits(spec))
        return {};
    // Tasks of low priority are preempted where waiting for them would take longer.
    bool would_wait =
        candidate.boot_time <= seconds{} && !candidate.free.fits(spec) &&
        candidate.backlog > constants::preemption_cost * candidate.array_capacity.slots(spec);
    return {true, would_wait && spec.priority != priority_class::low &&
                      candidate.free_above_low.fits(spec)};
}

// Returns whether the machine's queue is full, by estimated time or by number of tasks.
bool is_queue_full(const bidder &candidate, seconds queue_time) {
    if (queue_time > constants::max_queue_time)
        return true;
    // The limit by number keeps the leader responsive: otherwise the short tasks of a large sweep
    // fill every queue by the thousand, and bids for all of them are computed again each second.
    return queue_time > candidate.boot_time &&
           candidate.machine->queue.size() >= constants::max_queued_tasks;
}

} // namespace

bid_round::bid_round(const model::cluster_state &state, std::vector<bidder *> bidders)
    : state_(state), bidders_(std::move(bidders)) {
    for (std::size_t i = 0; i < bidders_.size(); ++i)
        bidders_[i]->position = i;
}

std::optional<round_bid> bid_round::best_bid(const catalog::job &job, time_point now) {
    const auto &spec = job.spec;
    seconds expected = state_.expected_run_time(job);
    auto allowed = allowed_classes_for(state_, job);
    auto failed = state_.failures().failed_machine_count(spec.id);
    bool some_failed = failed > 0 && failed < bidders_.size();
    requirements needed{spec.cpus,
                        spec.gpus,
                        spec.memory_gb,
                        spec.shape == job_shape::service,
                        spec.priority == priority_class::critical,
                        allowed};
    if (!some_failed && unmet_requirements_.contains(needed))
        return {};
    bid_request request{job, allowed, expected, some_failed, now};
    // The bids for services and for jobs with zone rules are not cached: the allowed zones change
    // with each placed task, and a bid may fall when another task takes resources.
    bool bids_may_fall =
        spec.shape == job_shape::service || spec.same_zone || spec.spread_across_zones;
    auto best = bids_may_fall ? find_best_bid(request) : find_best_cached_bid(request);
    if (!best && !some_failed)
        unmet_requirements_.insert(std::move(needed));
    return best;
}

void bid_round::task_queued(bidder &winner, const catalog::job &job, seconds estimate) {
    winner.add_task(job.spec, estimate);
    if (winner.add_fetch(job.image_number))
        fetching_by_image_[job.image_number].push_back(&winner);
    ++winner.version;
}

std::optional<round_bid> bid_round::bid_of(const bid_request &request, bidder &candidate) const {
    const auto &job = request.job;
    const auto &spec = job.spec;
    if (!request.allowed[candidate.machine_class] || !candidate.machine->may_take_work(request.now))
        return {};
    if (request.some_failed && state_.failures().failed_on(spec.id, candidate.machine->name))
        return {};
    auto [fits, needs_preemption] = check_fit(spec, candidate);
    if (!fits)
        return {};
    auto estimate = bidding::make_bid(
        candidate.machine->speed, candidate.type->fetch_gb_per_s, spec, candidate.free,
        candidate.array_capacity, needs_preemption ? seconds{} : candidate.backlog,
        candidate.boot_time, request.expected, candidate.has_image(job.image_number),
        candidate.pending_fetches);
    if (is_queue_full(candidate, estimate.queue_time))
        return {};
    round_bid bid{&candidate, estimate.finish_time(),
                  needs_preemption ? seconds{} : estimate.queue_time, candidate.version};
    if (needs_preemption)
        bid.finish_time += constants::preemption_cost;
    // Of otherwise equal machines, a replica takes the one where it displaces the fewest array
    // tasks.
    if (spec.shape == job_shape::service)
        bid.finish_time += constants::displaced_slot_cost *
                           displaced_slots(candidate, spec, state_.latest_array());
    return bid;
}

std::optional<round_bid> bid_round::find_best_bid(const bid_request &request) const {
    std::optional<round_bid> best;
    for (auto *candidate : bidders_) {
        auto bid = bid_of(request, *candidate);
        if (bid && (!best || bid->finish_time < best->finish_time))
            best = bid;
    }
    return best;
}

std::optional<round_bid> bid_round::find_best_cached_bid(const bid_request &request) {
    auto &bids = cached_bids_for(request);
    auto &heap = bids.heap;
    const auto &fetching = fetching_by_image_[request.job.image_number];
    for (; bids.fetching_processed < fetching.size(); ++bids.fetching_processed)
        push_bid(heap, request, *fetching[bids.fetching_processed]);
    // All other bids only rise within a round, so an outdated bid is computed again when it comes
    // to the top of the heap.
    while (!heap.empty() && heap.front().bidder_version != heap.front().bidder->version) {
        std::pop_heap(heap.begin(), heap.end());
        auto *candidate = heap.back().bidder;
        heap.pop_back();
        push_bid(heap, request, *candidate);
    }
    if (heap.empty())
        return {};
    return heap.front();
}

bid_round::job_bids &bid_round::cached_bids_for(const bid_request &request) {
    auto [entry, is_new] = cached_bids_.try_emplace(request.job.spec.id);
    auto &bids = entry->second;
    if (!is_new)
        return bids;
    for (auto *candidate : bidders_)
        if (auto bid = bid_of(request, *candidate))
            bids.heap.push_back(*bid);
    std::make_heap(bids.heap.begin(), bids.heap.end());
    bids.fetching_processed = fetching_by_image_[request.job.image_number].size();
    return bids;
}

void bid_round::push_bid(std::vector<round_bid> &heap, const bid_request &request,
                         bidder &candidate) const {
    auto bid = bid_of(request, candidate);
    if (!bid)
        return;
    heap.push_back(*bid);
    std::push_heap(heap.begin(), heap.end());
}

} // namespace spindlecroft::planning
