// Selects the machines that bid, and computes their bidders.
#include "planning/bidder_table.hpp"
#include "constants.hpp"
#include "model/boot_age.hpp"
#include <algorithm>

namespace spindlecroft::planning {

namespace {

using catalog::attempt_phase;
// Factor on the type's boot time: a boot that takes this much longer is still ordinary.
constexpr double boot_time_margin = 1.1;
// Assumed remaining time of a boot that takes longer than usual.
constexpr seconds least_boot_time{1};
// Assumed remaining run time of a task past its estimate, as a share of the estimate.
constexpr double overdue_estimate_share = 0.2;

bool is_slow(const workers::machine &machine) {
    return machine.speed_samples >= constants::min_speed_samples &&
           machine.speed < constants::slow_machine_speed;
}

} // namespace

std::optional<seconds> bidder_table::time_until_up(const workers::machine &machine,
                                                   time_point now) const {
    if (!machine.is_usable() || machine.is_silent || is_slow(machine))
        return {};
    if (machine.is_up)
        return seconds{};
    seconds age = model::boot_age(machine, state_.term(), settings_, now);
    if (age > constants::boot_hedge_ratio * machine.type.boot_time)
        return {}; // The boot is late: no task is queued for a machine that may never come up.
    return std::max(least_boot_time, machine.type.boot_time * boot_time_margin - age);
}

std::vector<bidder *> bidder_table::eligible_bidders(time_point now) {
    std::vector<bidder *> eligible;
    eligible.reserve(state_.machines().size());
    // Both maps are sorted by name: entries that are skipped belong to machines that were removed.
    auto next = bidders_.begin();
    for (auto &[name, machine] : state_.machines()) {
        while (next != bidders_.end() && next->first < name)
            next = bidders_.erase(next);
        bool has_entry = next != bidders_.end() && next->first == name;
        auto boot_time = time_until_up(machine, now);
        if (!boot_time) {
            if (has_entry)
                ++next;
            continue;
        }
        if (!has_entry)
            next = bidders_.try_emplace(next, name);
        auto &entry = next->second;
        ++next;
        entry.machine = &machine;
        entry.boot_time = *boot_time;
        // On an unchanged machine only the remaining run times shrink. They need not be exact, so
        // it is refreshed at longer intervals.
        if (machine.has_changed || !entry.refreshed_at ||
            now - *entry.refreshed_at > constants::max_bidder_age)
            refresh(entry, now);
        eligible.push_back(&entry);
    }
    bidders_.erase(next, bidders_.end());
    return eligible;
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
        *entry.machine, [&](const catalog::job &job, const catalog::attempt &attempt) {
            if (!attempt.holds_resources())
                return;
            // A task past its estimate is assumed to run for another fifth of it, not to end at
            // once.
            entry.add_task(job.spec,
                           std::max(attempt.expected_run_time - attempt.observed_run_time(now),
                                    overdue_estimate_share * attempt.expected_run_time));
            if (attempt.phase != attempt_phase::running &&
                attempt.phase != attempt_phase::checkpointing)
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
