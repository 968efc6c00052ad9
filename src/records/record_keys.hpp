// Keys of the records in the key-value store. The functions are defined next to the scheduler.
#pragma once
#include <string>

namespace spindlecroft::control {

std::string active_key(const std::string &job);
std::string ended_key(const std::string &job);
std::string placed_key(const std::string &segment);
std::string done_key(const std::string &record);
inline constexpr const char *suspects_key = "f/suspects";

} // namespace spindlecroft::control

namespace spindlecroft::records {

using control::active_key;
using control::done_key;
using control::ended_key;
using control::placed_key;
using control::suspects_key;

} // namespace spindlecroft::records
