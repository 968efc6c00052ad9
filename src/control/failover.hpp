// Failover: a new leader reads the stored records and builds its scheduler from them.
#pragma once
#include "catalog/job_cache.hpp"
#include "control/cloud_client.hpp"
#include "control/leadership.hpp"
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace spindlecroft::control {

/// Loads the state of one new leadership.
class failover {
  public:
    failover(std::shared_ptr<leadership> term, store::key_value_client &store, cloud_client &cloud,
             catalog::job_cache &jobs, const membership::member &member,
             const settings::settings &settings)
        : term_(std::move(term)), store_(store), cloud_(cloud), jobs_(jobs), member_(member),
          settings_(settings) {}
    /// Reads all records, retrying until it succeeds, then activates the leadership's scheduler.
    /// Returns false if the leadership ended before.
    net::awaitable<bool> run();
    const std::vector<machine_type> &types() const { return types_; }

  private:
    struct stored_records {
        std::optional<wire::range_answer> suspects, placements, done, rentals;
        [[nodiscard]] bool complete() const { return suspects && placements && done && rentals; }
    };
    /// Reads the machine types from the store, or from the cloud if none are stored.
    net::awaitable<void> read_types();
    net::awaitable<void> read_stored_types();
    net::awaitable<void> read_types_from_cloud();
    net::awaitable<void> read_records();
    /// Brings the job cache up to date, so that it holds every change made before this leadership.
    net::awaitable<void> read_jobs();
    void load(scheduler &target, time_point now);
    void load_records(scheduler &target, time_point now);
    void store_types();

    std::shared_ptr<leadership> term_;
    store::key_value_client &store_;
    cloud_client &cloud_;
    catalog::job_cache &jobs_;
    const membership::member &member_;
    const settings::settings &settings_;
    std::vector<machine_type> types_;
    std::uint64_t types_revision_ = 0; // store revision of the stored types; 0: none are stored
    bool types_unreadable_ = false;
    stored_records records_;
};

/// Passes the ends of predecessors that the scheduler has no record of from the job cache to it.
void apply_predecessor_ends(scheduler &scheduler, const catalog::job_cache &jobs, time_point now);

} // namespace spindlecroft::control
