// The state of a job as of now, as users are told it.
#pragma once
#include "catalog/job_cache.hpp"
#include "control/task_progress.hpp"
#include "net/http.hpp"
#include "store/key_value_client.hpp"
#include <optional>
#include <string>

namespace spindlecroft::control {

// What was found of a job.
struct job_lookup {
    enum class outcome {
        known,         // the status is that of a moment after the question
        never_existed, // nobody submitted such a job before the question
        unavailable,   // the store could not be read
    } how = outcome::unavailable;
    job_status status; // if known
};

class job_queries {
  public:
    job_queries(const store::key_value_client &store, catalog::job_cache &jobs,
                task_progress &progress)
        : store_(store), jobs_(jobs), progress_(progress) {}
    // The answer is linearizable: what was durable before the call is in it.
    net::awaitable<job_lookup> find(std::string id);
    // GET of one job.
    net::awaitable<net::response> on_poll(std::string id);
    // 503 for a question that could not be answered since the store could not be read.
    net::response store_unavailable() const;

  private:
    job_lookup active_status(const std::string &id, const catalog::cached_job &job);
    net::awaitable<job_lookup> find_ended(std::string id);

    const store::key_value_client &store_;
    catalog::job_cache &jobs_;
    task_progress &progress_;
};

} // namespace spindlecroft::control
