// Which machines bid, and with what figures.
#include "planning/bidder_table.hpp"
#include "constants.hpp"
#include "model/boot_age.hpp"
#include <algorithm>

namespace spindlecroft::planning {

namespace {

using catalog::attempt_phase;
namespace c = constants;

constexpr double boot_time_margin = 1.1;       // boots that take this much longer are ordinary
constexpr seconds least_boot_time{1};          // left of a boot that takes longer than usual
constexpr double overdue_estimate_share = 0.2; // of its estimate, left of a task past it

bool is_slow(const workers::machine &machine) {
    return machine.speed_samples >= c::min_speed_samples && machine.speed < c::slow_machine_speed;
}

} // namespace

std::optional<seconds> bidder_table::time_until_up(const workers::machine &machine,
                                                   time_point now) const {
    if (!machine.is_usable() || machine.is_silent || is_slow(machine))
        return {};
    if (machine.is_up)
        return seconds{};
    seconds age = model::boot_age(machine, state_.term(), settings_, now);
    if (age > c::boot_hedge_ratio * machine.type.boot_time)
        return {}; // late: nothing is promised in its name
    return std::max(least_boot_time, machine.type.boot_time * boot_time_margin - age);
}

std::vector<bidder *> bidder_table::eligible_bidders(time_point now) {
    std::vector<bidder *> bidding;
    bidding.reserve(state_.machines().size());
    // Both maps are in the order of names: entries passed over are of machines that are gone.
    auto next = bidders_.begin();
    for (auto &[name, machine] : state_.machines()) {
        while (next != bidders_.end() && next->first < name)
            next = bidders_.erase(next);
        bool known = next != bidders_.end() && next->first == name;
        auto boot_time = time_until_up(machine, now);
        if (!boot_time) {
            if (known)
                ++next;
            continue;
        }
        if (!known)
            next = bidders_.try_emplace(next, name);
        auto &entry = next->second;
        ++next;
        entry.machine = &machine;
        entry.boot_time = *boot_time;
        // What nothing has changed on only grows older; that need not be exact.
        if (machine.has_changed || !entry.refreshed_at ||
            now - *entry.refreshed_at > c::max_bidder_age)
            refresh(entry, now);
        bidding.push_back(&entry);
    }
    bidders_.erase(next, bidders_.end());
    return bidding;
}

bidder *bidder_table::find(const std::string &machine) {
    auto found = bidders_.find(machine);
    return found == bidders_.end() ? nullptr : &found->second;
}

void bidder_table::refresh(bidder &entry, time_point now) {
    auto &machine = *entry.machine;
    machine.has_changed = false;
    entry.refreshed_at = now;
    entry.type = &machine.type;
    entry.zone = machine.zone;
    entry.spot = machine.spot;
    entry.machine_class = machine.machine_class;
    entry.free = {machine.type.cpus, machine.type.gpus, machine.type.memory_gb};
    entry.free_for_critical = entry.free_above_low = entry.array_capacity = entry.free;
    entry.backlog = seconds{};
    entry.pending_fetches = 0;
    entry.cached_images.clear();
    entry.fetching_images.clear();
    for (auto &[image, used_at] : machine.image_last_used)
        entry.cached_images.push_back(state_.image_number(image));
    add_attempts(entry, now);
    add_queued_tasks(entry);
}

void bidder_table::add_attempts(bidder &entry, time_point now) {
    state_.for_each_attempt(
        *entry.machine, [&](const catalog::job &job, const catalog::attempt &held) {
            if (!held.holds_resources())
                return;
            // Past its estimate: as much again as a fifth of it, rather than nothing.
            entry.add_task(job.spec, std::max(held.expected_run_time - held.observed_run_time(now),
                                              overdue_estimate_share * held.expected_run_time));
            if (held.phase != attempt_phase::running && held.phase != attempt_phase::checkpointing)
                entry.add_fetch(job.image_number);
        });
}

void bidder_table::add_queued_tasks(bidder &entry) {
    for (const auto &queued : entry.machine->queue) {
        const auto *job = state_.find_job(queued.task.job);
        if (!job)
            continue;
        entry.add_task(job->spec, queued.estimate);
        entry.add_fetch(job->image_number);
    }
}

} // namespace spindlecroft::planning
