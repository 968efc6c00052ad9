#include "catalog/job.hpp"

namespace spindlecroft::catalog {

std::uint32_t job::waiting() const {
    if (over() || !ready)
        return 0;
    return static_cast<std::uint32_t>(again.size()) + (spec.tasks - next_fresh);
}

bool job::pop_waiting(std::uint32_t &index) {
    if (!again.empty()) {
        index = *again.begin();
        again.erase(again.begin());
        return true;
    }
    while (next_fresh < spec.tasks) {
        index = next_fresh++;
        if (!done[index] && !live.count(index) && !queued.count(index))
            return true;
    }
    return false;
}

void job::push_back(std::uint32_t index) {
    if (index >= next_fresh || done[index] || live.count(index))
        return;
    again.insert(index);
}

std::uint32_t job::running() const {
    std::uint32_t count = 0;
    for (auto &[index, attempt] : live)
        if (attempt.phase == attempt_phase::running)
            ++count;
    return count;
}

} // namespace spindlecroft::catalog
