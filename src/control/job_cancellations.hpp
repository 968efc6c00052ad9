// Handles users' requests to cancel a job.
#pragma once
#include "catalog/job_cache.hpp"
#include "control/job_queries.hpp"
#include "control/user_writes.hpp"
#include "net/http.hpp"
#include <functional>
#include <optional>
#include <string>

namespace spindlecroft::control {

/// Writes cancellations into job records.
class job_cancellations {
  public:
    /// Called once a cancellation is durable, before its user gets the response.
    using durable_handler = std::function<void(const cancel_notice &)>;
    job_cancellations(const settings::settings &settings, catalog::job_cache &jobs,
                      job_queries &queries, user_writes &writes, durable_handler on_durable)
        : settings_(settings), jobs_(jobs), queries_(queries), writes_(writes),
          on_durable_(std::move(on_durable)) {}
    /// Cancels a job. Responds with 200 and the state "cancelled" or "done", which are final; 404
    /// if no such job was submitted; 503 if it can't be decided.
    net::awaitable<net::response> on_cancel(std::string id);

  private:
    /// Makes one attempt to write the cancellation, on condition that the record is unchanged since
    /// it was cached. Nothing: the outcome is unknown.
    net::awaitable<std::optional<store::write_outcome>>
    write_cancel(const std::string &id, const catalog::cached_job &job, seconds time_limit);

    const settings::settings &settings_;
    catalog::job_cache &jobs_;
    job_queries &queries_;
    user_writes &writes_;
    durable_handler on_durable_;
};

} // namespace spindlecroft::control
