// Drives the scheduler while this controller leads: calls it at intervals and carries out its
// decisions.
#pragma once
#include "catalog/job_cache.hpp"
#include "control/cloud_operations.hpp"
#include "control/command_sender.hpp"
#include "control/leadership.hpp"
#include "store/key_value_client.hpp"
#include <memory>

namespace spindlecroft::control {

/// The control loop of one leadership.
class control_loop {
  public:
    /// The components of the controller that the loop uses; they outlive it.
    struct components {
        net::asio::io_context &io;
        store::key_value_client &store;
        membership::member &member;
        catalog::job_cache &jobs;
        cloud_operations &cloud;
        const settings::settings &settings;
        std::size_t command_sockets = 0;
    };
    control_loop(components components, std::shared_ptr<leadership> term);
    /// Runs until the leadership may no longer act.
    net::awaitable<void> run();

  private:
    void run_round(time_point now);
    void submit_writes(time_point now);
    void submit_write(const durable_write &write);
    void start_cloud_calls(time_point now);
    void log_summary(time_point now);

    components components_;
    std::shared_ptr<leadership> term_;
    std::shared_ptr<command_sender> commands_;
    time_point next_summary_;
    time_point next_fleet_scan_{}; // earliest time of the next check of all machines
};

} // namespace spindlecroft::control
