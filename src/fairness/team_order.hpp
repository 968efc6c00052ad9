// In which order a team's jobs of one rank are served while not all can run at once.
#pragma once
#include <cstddef>
#include <vector>

namespace spindlecroft::fairness {

struct waiting_job {
    double due_in_s = 0;  // until it should be complete
    double work_s = 0;    // run time of its tasks that are not done
    double longest_s = 0; // at least this long even with any number of machines
    double waited_s = 0;  // since it was accepted
    bool begun = false;   // some task of it has started
};

// Serves by due time those that can still be in time together; where they can't all be, the one
// with the most work gives way, since that saves the most others (Moore and Hodgson's rule). Those
// that gave way come after, the shortest first. So that this starves no one, a job that has waited
// long without any task goes before all others, and among the late those that are long overdue go
// first, the oldest first. Returns positions in the given list. Pure.
std::vector<std::size_t> serving_order(const std::vector<waiting_job> &jobs, double slots);

} // namespace spindlecroft::fairness
