// The controller: one process of the control plane. It serves users, workers and the other
// controllers, and runs the scheduler while it leads. This class only connects the components.
#pragma once
#include "catalog/job_cache.hpp"
#include "control/cloud_client.hpp"
#include "control/cloud_operations.hpp"
#include "control/heartbeat_service.hpp"
#include "control/job_cancellations.hpp"
#include "control/job_queries.hpp"
#include "control/job_submissions.hpp"
#include "control/leadership.hpp"
#include "control/machine_type_catalog.hpp"
#include "control/task_progress.hpp"
#include "control/user_writes.hpp"
#include "membership/member.hpp"
#include "net/http.hpp"
#include <memory>

namespace spindlecroft::control {

/// Connects the components of one controller process.
class controller {
  public:
    controller(net::asio::io_context &io, const settings::settings &settings);
    /// Starts listening, and starts every background coroutine.
    void start();
    /// Stops them in order; the event loop may be stopped afterwards.
    void stop();

  private:
    net::awaitable<net::response> on_api(net::request received);
    net::awaitable<net::response> on_user_request(net::request received, std::string path);
    net::awaitable<net::response> on_peer(net::request received);
    net::response ready() const;

    void connect_membership();
    void connect_jobs();
    void on_elected();
    void on_leadership_ended();
    net::awaitable<void> lead(std::shared_ptr<leadership> term);
    void apply_cancel(const cancel_notice &notice);

    net::asio::io_context &io_;
    settings::settings settings_;
    settings::socket_plan sockets_;
    store::key_value_client store_;
    membership::member member_;
    catalog::job_cache jobs_;
    std::shared_ptr<leadership> leadership_; // set while this controller leads
    machine_type_catalog machine_types_;
    task_progress progress_;
    user_writes user_writes_;
    job_queries queries_;
    job_submissions submissions_;
    job_cancellations cancellations_;
    heartbeat_service heartbeat_service_;
    cloud_client cloud_;
    cloud_operations cloud_operations_;
    net::server api_server_;
    net::server peer_server_;
};

} // namespace spindlecroft::control
