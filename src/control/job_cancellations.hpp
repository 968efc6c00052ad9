// Users' requests to cancel a job.
#pragma once
#include "catalog/job_cache.hpp"
#include "control/job_queries.hpp"
#include "control/user_writes.hpp"
#include "net/http.hpp"
#include <functional>
#include <optional>
#include <string>

namespace spindlecroft::control {

class job_cancellations {
  public:
    // Called once a cancel is durable, and before its user is told.
    using durable_handler = std::function<void(const cancel_notice &)>;
    job_cancellations(const settings::settings &settings, catalog::job_cache &jobs,
                      job_queries &queries, user_writes &writes, durable_handler on_durable)
        : settings_(settings), jobs_(jobs), queries_(queries), writes_(writes),
          on_durable_(std::move(on_durable)) {}
    // 200 with "cancelled" or "done", which are final; 404 for a job that nobody submitted; 503
    // where it can't be decided.
    net::awaitable<net::response> on_cancel(std::string id);

  private:
    // One try to write the cancel into the record as it is cached.
    net::awaitable<std::optional<store::write_outcome>>
    write_cancel(const std::string &id, const catalog::cached_job &job, seconds time_limit);

    const settings::settings &settings_;
    catalog::job_cache &jobs_;
    job_queries &queries_;
    user_writes &writes_;
    durable_handler on_durable_;
};

} // namespace spindlecroft::control
