// Users' submissions: what may be accepted, and how it is recorded.
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

class job_submissions {
  public:
    job_submissions(const settings::settings &settings, catalog::job_cache &jobs,
                    const machine_type_catalog &types, job_queries &queries, user_writes &writes)
        : settings_(settings), jobs_(jobs), types_(types), queries_(queries), writes_(writes) {}
    // 201 for a new job, 200 for one that is known (the request is idempotent), 400 for a malformed
    // message, 422 for a job that can never run, 503 where it can't be decided.
    net::awaitable<net::response> on_submit(std::string body);

  private:
    // What the job's predecessors make of its submission.
    struct dependency_check {
        enum class verdict { fine, unavailable, impossible } how = verdict::fine;
        std::string reason;                  // impossible
        std::vector<std::string> unfinished; // those still to be waited for
        bool cancelled = false;              // one of them is: so is the job
    };
    struct predecessor {
        enum class standing { pending, done, cancelled, unavailable, impossible } how;
        std::string reason; // impossible
    };
    // Why the job can never run; empty: it can.
    std::string rejection(const job_spec &spec) const;
    [[nodiscard]] bool fits_a_machine(const job_spec &spec) const;
    // The job was accepted before, as far as is known without a read.
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
