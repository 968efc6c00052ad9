// Reads the current state of a job for users.
#pragma once
#include "catalog/job_cache.hpp"
#include "control/task_progress.hpp"
#include "net/http.hpp"
#include "store/key_value_client.hpp"
#include <optional>
#include <string>

namespace spindlecroft::control {

/// Result of looking up a job.
struct job_lookup {
    enum class result {
        known,         // the status was read after the request arrived
        never_existed, // no such job was submitted before the request
        unavailable,   // the store could not be read
    } outcome = result::unavailable;
    job_status status; // set if known
};

/// Serves the status of jobs.
class job_queries {
  public:
    job_queries(const store::key_value_client &store, catalog::job_cache &jobs,
                task_progress &progress)
        : store_(store), jobs_(jobs), progress_(progress) {}
    /// Looks up a job. The result is linearizable: it includes everything that was durable before
    /// the call.
    net::awaitable<job_lookup> find(std::string id);
    /// Handles a GET of one job.
    net::awaitable<net::response> on_poll(std::string id);
    /// Returns a 503 response for a request that needs the key-value store, which could not be
    /// read.
    net::response store_unavailable() const;

  private:
    job_lookup active_status(const std::string &id, const catalog::cached_job &job);
    net::awaitable<job_lookup> find_ended(std::string id);

    const store::key_value_client &store_;
    catalog::job_cache &jobs_;
    task_progress &progress_;
};

} // namespace spindlecroft::control
