// Replays a kept trace: commands with a time, and after each the scheduler's decisions.
#pragma once
#include "control/scheduler.hpp"
#include "test_time.hpp"
#include <deque>
#include <string>
#include <vector>

namespace spindlecroft::test {

settings::settings small_settings();
std::vector<machine_type> small_types();
job_spec small_job(const std::string &id);

// Runs the commands of a trace (lines that do not begin with '>') and returns the whole transcript:
// every line of the trace, each command followed by the decisions, as lines that begin with '> '.
std::string replay(const std::string &trace);

} // namespace spindlecroft::test
