// Settings, machine types and jobs shared by the tests.
#pragma once
#include "settings/settings.hpp"
#include "test_time.hpp"
#include "wire/types.hpp"
#include <string>
#include <vector>

namespace spindlecroft::test {

// Settings of a cluster with short time limits and two teams: team red has guaranteed cores and a
// core limit, team blue has neither.
settings::settings small_settings();

// Returns two machine types, with 4 and 16 cores, available in zones a and b.
std::vector<machine_type> small_types();

// Returns a job of team blue with one task of 4 cores that may run on spot machines.
job_spec small_job(const std::string &id);

} // namespace spindlecroft::test
