// Counts of done and running tasks, shown to users. The leader has them; the other controllers
// query it from time to time. They are for display only: no decision depends on them.
#pragma once
#include "control/leadership.hpp"
#include "net/http.hpp"
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace spindlecroft::control {

/// Provides the task counts of jobs on every controller.
class task_progress {
  public:
    /// Returns the leadership of this controller; null while it does not lead.
    using leadership_getter = std::function<std::shared_ptr<leadership>()>;
    task_progress(net::asio::io_context &io, membership::member &member,
                  leadership_getter get_leadership)
        : io_(io), member_(member), get_leadership_(std::move(get_leadership)) {}
    /// Returns the counts of a job as last received; nothing: unknown. Starts a new query to the
    /// leader, without waiting for it, if the last one is old.
    std::optional<scheduler::progress> find(const std::string &job);
    /// Returns the response to another controller: the counts of every active job, if this
    /// controller leads.
    wire::peer_message make_response() const;

  private:
    net::awaitable<void> query_leader();
    void handle_response(const std::string &body);

    net::asio::io_context &io_;
    membership::member &member_;
    leadership_getter get_leadership_;
    /// Counts by job, from the leader's last response.
    std::map<std::string, scheduler::progress> leader_counts_;
    bool query_pending_ = false;
    std::optional<time_point> last_query_at_;
};

} // namespace spindlecroft::control
