#include "catalog/job.hpp"

namespace spindlecroft::catalog {

std::uint32_t job::waiting_tasks() const {
    if (is_closed() || !ready)
        return 0;
    return static_cast<std::uint32_t>(requeued.size()) + (spec.tasks - next_unplaced);
}

bool job::pop_waiting_task(std::uint32_t &index) {
    if (!requeued.empty()) {
        index = *requeued.begin();
        requeued.erase(requeued.begin());
        return true;
    }
    while (next_unplaced < spec.tasks) {
        index = next_unplaced++;
        if (!done[index] && !current_attempts.count(index) && !queued_on.count(index))
            return true;
    }
    return false;
}

void job::requeue_task(std::uint32_t index) {
    if (index >= next_unplaced || done[index] || current_attempts.count(index))
        return;
    requeued.insert(index);
}

std::uint32_t job::running_tasks() const {
    std::uint32_t count = 0;
    for (auto &[index, attempt] : current_attempts)
        if (attempt.phase == attempt_phase::running)
            ++count;
    return count;
}

} // namespace spindlecroft::catalog
