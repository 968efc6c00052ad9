// Replays a kept trace: commands with a time, and after each the scheduler's decisions.
#pragma once
#include <string>

namespace spindlecroft::test {

// Runs the commands of a trace (lines that do not begin with '>') and returns the whole transcript:
// every line of the trace, each command followed by the decisions, as lines that begin with '> '.
std::string replay(const std::string &trace);

} // namespace spindlecroft::test
