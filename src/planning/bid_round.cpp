// What machines bid for a task, and how the lowest bid is found without asking them all each time.
#include "planning/bid_round.hpp"
#include "constants.hpp"
#include <algorithm>

namespace spindlecroft::planning {

namespace {

namespace c = constants;

// Whether and how a machine can run one more such task.
struct capacity {
    bool fits = false;
    bool preempting = false; // it fits once other work was stopped
};

capacity capacity_for(const job_spec &spec, const bidder &machine) {
    bool critical = spec.priority == priority_class::critical;
    if (spec.shape == job_shape::service || critical) {
        // A service leaves only with its user: nobody queues behind it.
        const auto &available = critical ? machine.free_for_critical : machine.array_capacity;
        return {available.fits(spec), !machine.free.fits(spec)};
    }
    if (!machine.array_capacity.fits(spec))
        return {};
    // Work of the lowest priority makes room where waiting for it would take longer.
    bool waits = machine.boot_time <= seconds{} && !machine.free.fits(spec) &&
                 machine.backlog > c::preemption_cost * machine.array_capacity.slots(spec);
    return {true,
            waits && spec.priority != priority_class::low && machine.free_above_low.fits(spec)};
}

// The machine's queue is full, by time or by number.
bool queue_too_long(const bidder &machine, seconds queue_time) {
    if (queue_time > c::max_queue_time)
        return true;
    // Guards against a leader that is busy with bids alone: the tasks of a large sweep fill every
    // queue by the thousand, and all of them are bid again each second.
    return queue_time > machine.boot_time && machine.machine->queue.size() >= c::max_queued_tasks;
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
    bid_request asked{job, allowed, expected, some_failed, now};
    // Where tasks of services and of jobs with zone rules may be changes with each of them, and a
    // bid may fall when another task takes resources: such bids are not kept.
    bool bids_may_fall =
        spec.shape == job_shape::service || spec.same_zone || spec.spread_across_zones;
    auto best = bids_may_fall ? find_best_bid(asked) : find_best_cached_bid(asked);
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

std::optional<round_bid> bid_round::bid_of(const bid_request &asked, bidder &machine) const {
    const auto &job = asked.job;
    const auto &spec = job.spec;
    if (!asked.allowed[machine.machine_class] || !machine.machine->may_take_work(asked.now))
        return {};
    if (asked.some_failed && state_.failures().failed_on(spec.id, machine.machine->name))
        return {};
    auto [fits, preempting] = capacity_for(spec, machine);
    if (!fits)
        return {};
    auto offer = bidding::make_bid(
        machine.machine->speed, machine.type->fetch_gb_per_s, spec, machine.free,
        machine.array_capacity, preempting ? seconds{} : machine.backlog, machine.boot_time,
        asked.expected, machine.has_image(job.image_number), machine.pending_fetches);
    if (queue_too_long(machine, offer.queue_time))
        return {};
    round_bid bid{&machine, offer.finish_time(), preempting ? seconds{} : offer.queue_time,
                  machine.version};
    if (preempting)
        bid.finish_time += c::preemption_cost;
    // Between equals, a replica goes where it spoils least room for work that comes and goes.
    if (spec.shape == job_shape::service)
        bid.finish_time +=
            c::displaced_slot_cost * displaced_slots(machine, spec, state_.latest_array());
    return bid;
}

std::optional<round_bid> bid_round::find_best_bid(const bid_request &asked) const {
    std::optional<round_bid> best;
    for (auto *machine : bidders_) {
        auto bid = bid_of(asked, *machine);
        if (bid && (!best || bid->finish_time < best->finish_time))
            best = bid;
    }
    return best;
}

std::optional<round_bid> bid_round::find_best_cached_bid(const bid_request &asked) {
    auto &bids = cached_bids_for(asked);
    auto &heap = bids.heap;
    const auto &fetching = fetching_by_image_[asked.job.image_number];
    for (; bids.fetching_processed < fetching.size(); ++bids.fetching_processed)
        push_bid(heap, asked, *fetching[bids.fetching_processed]);
    // Apart from those, bids only rise within a round: an outdated one is worked out anew when it
    // comes to the top.
    while (!heap.empty() && heap.front().bidder_version != heap.front().bidder->version) {
        std::pop_heap(heap.begin(), heap.end());
        auto *machine = heap.back().bidder;
        heap.pop_back();
        push_bid(heap, asked, *machine);
    }
    if (heap.empty())
        return {};
    return heap.front();
}

bid_round::job_bids &bid_round::cached_bids_for(const bid_request &asked) {
    auto [entry, is_new] = cached_bids_.try_emplace(asked.job.spec.id);
    auto &bids = entry->second;
    if (!is_new)
        return bids;
    for (auto *machine : bidders_)
        if (auto bid = bid_of(asked, *machine))
            bids.heap.push_back(*bid);
    std::make_heap(bids.heap.begin(), bids.heap.end());
    bids.fetching_processed = fetching_by_image_[asked.job.image_number].size();
    return bids;
}

void bid_round::push_bid(std::vector<round_bid> &heap, const bid_request &asked,
                         bidder &machine) const {
    auto bid = bid_of(asked, machine);
    if (!bid)
        return;
    heap.push_back(*bid);
    std::push_heap(heap.begin(), heap.end());
}

} // namespace spindlecroft::planning
