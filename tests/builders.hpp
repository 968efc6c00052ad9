// Settings, machine types and jobs that the tests share.
#pragma once
#include "settings/settings.hpp"
#include "test_time.hpp"
#include "wire/types.hpp"
#include <string>
#include <vector>

namespace spindlecroft::test {

// A cluster with short time limits and two teams: red has a guarantee and a limit, blue neither.
settings::settings small_settings();

// Two machine types, of 4 and of 16 cores, in zones a and b.
std::vector<machine_type> small_types();

// A job of one task of 4 cores, of team blue, that may run on spot machines.
job_spec small_job(const std::string &id);

} // namespace spindlecroft::test
