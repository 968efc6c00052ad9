// Names of the records in the key-value store. All program versions that run side by side read and
// write these keys, so a name must never change.
#pragma once
#include <string>

namespace spindlecroft::store::keys {

// Prefix of all job records; a watch for jobs covers it.
inline constexpr const char *jobs_prefix = "j/";
// Records of accepted jobs that have not ended.
inline constexpr const char *active_jobs_prefix = "j/a/";
// Records of jobs that ended.
inline constexpr const char *ended_jobs_prefix = "j/e/";
// Placement records: the attempt and machine of each placed task.
inline constexpr const char *placements_prefix = "p/";
// Records of the tasks that are done.
inline constexpr const char *done_tasks_prefix = "d/";
// Records of the rounds of machine rental requests.
inline constexpr const char *rentals_prefix = "m/";

// The machine types that the cloud offers.
inline constexpr const char *machine_types = "c/types";
// The jobs whose tasks fail on every machine.
inline constexpr const char *suspect_jobs = "f/suspects";
// The leader key. Its revision is the fencing token.
inline constexpr const char *leader = "leader";

// The record of an active job.
[[nodiscard]] inline std::string active_job(const std::string &job) {
    return active_jobs_prefix + job;
}
// The record of a job that ended.
[[nodiscard]] inline std::string ended_job(const std::string &job) {
    return ended_jobs_prefix + job;
}
// A record of placements.
[[nodiscard]] inline std::string placements(const std::string &record) {
    return placements_prefix + record;
}
// A record of done tasks.
[[nodiscard]] inline std::string done_tasks(const std::string &record) {
    return done_tasks_prefix + record;
}
// The record of a round of rentals.
[[nodiscard]] inline std::string rentals(const std::string &round) {
    return rentals_prefix + round;
}

} // namespace spindlecroft::store::keys
