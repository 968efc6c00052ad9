// Idle machines and deletions.
#include "fleet/scale_in.hpp"
#include "constants.hpp"
#include "fleet/deletion_reason.hpp"
#include <algorithm>

namespace spindlecroft::fleet {

void scale_in::delete_idle(const std::set<std::string> &spare, time_point now) {
    for (auto &[name, machine] : state_.machines()) {
        bool has_work = !machine.attempts.empty() || !machine.queue.empty();
        if (!machine.is_up || machine.is_deleting || has_work || spare.contains(name))
            continue;
        seconds max_idle = std::max(constants::min_idle_retention,
                                    constants::idle_retention_boot_ratio * machine.type.boot_time);
        if (now - machine.idle_since > max_idle)
            state_.request_deletion(machine, to_text(deletion_reason::idle));
    }
}

std::vector<std::string> scale_in::take_deletions(time_point now) {
    std::vector<std::string> names;
    for (auto &[name, machine] : state_.machines()) {
        if (names.size() >= static_cast<std::size_t>(constants::max_machines_per_deletion))
            break;
        if (!machine.is_deleting || machine.delete_sent_at)
            continue;
        machine.delete_sent_at = now;
        names.push_back(name);
    }
    return names;
}

void scale_in::on_deleted(const std::vector<std::string> &machines, time_point now) {
    for (const auto &name : machines)
        state_.remove_machine(name, now);
}

void scale_in::on_delete_failed(const std::vector<std::string> &machines) {
    for (const auto &name : machines)
        if (auto *machine = state_.find_machine(name))
            machine->delete_sent_at.reset();
}

} // namespace spindlecroft::fleet
