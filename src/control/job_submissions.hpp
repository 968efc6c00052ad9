// Handles users' submissions: validates them and records the accepted jobs.
#pragma once
#include "catalog/job_cache.hpp"
#include "control/job_queries.hpp"
#include "control/machine_type_catalog.hpp"
#include "control/user_writes.hpp"
#include "net/http.hpp"
#include <optional>
#include <string>
#include <vector>

namespace spindlecroft::control {

/// Decides on submissions and writes the records of accepted jobs.
class job_submissions {
  public:
    job_submissions(const settings::settings &settings, catalog::job_cache &jobs,
                    const machine_type_catalog &types, job_queries &queries, user_writes &writes)
        : settings_(settings), jobs_(jobs), types_(types), queries_(queries), writes_(writes) {}
    /// Submits a job. Responds with 201 for a new job, 200 for a known one (the request is
    /// idempotent), 400 to a malformed message, 422 for a job that can never run, 503 if it can't
    /// be decided.
    net::awaitable<net::response> on_submit(std::string body);

  private:
    /// What the job's predecessors mean for its submission.
    struct dependency_check {
        enum class verdict { acceptable, unavailable, impossible } outcome = verdict::acceptable;
        std::string reason;                  // set if impossible
        std::vector<std::string> unfinished; // predecessors that have not ended
        bool cancelled = false;              // a predecessor was cancelled, so the job is too
    };
    /// One predecessor as found at the submission.
    struct predecessor {
        enum class standing { pending, done, cancelled, unavailable, impossible } state;
        std::string reason; // set if impossible
    };
    /// Returns why the job can never run; empty: it can.
    std::string rejection(const job_spec &spec) const;
    [[nodiscard]] bool fits_a_machine(const job_spec &spec) const;
    /// Returns whether the job is known to have been accepted before; makes no read.
    [[nodiscard]] bool is_known(const std::string &id) const;
    net::awaitable<dependency_check> check_predecessors(std::vector<std::string> predecessors);
    net::awaitable<predecessor> check_predecessor(std::string id);
    predecessor check_active(const std::string &id, const catalog::cached_job &job) const;
    net::awaitable<net::response> respond_to_known(std::string id, std::string rejection);
    net::awaitable<net::response> accept(wire::job_record record, std::string value);

    const settings::settings &settings_;
    catalog::job_cache &jobs_;
    const machine_type_catalog &types_;
    job_queries &queries_;
    user_writes &writes_;
};

} // namespace spindlecroft::control
