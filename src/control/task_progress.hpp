// Counts of done and running tasks, shown to users. The leader knows them; the other controllers
// ask it from time to time. They are for display: nothing is decided by them.
#pragma once
#include "control/leadership.hpp"
#include "net/http.hpp"
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace spindlecroft::control {

class task_progress {
  public:
    using leadership_getter = std::function<std::shared_ptr<leadership>()>;
    task_progress(net::asio::io_context &io, membership::member &member, leadership_getter current)
        : io_(io), member_(member), get_leadership_(std::move(current)) {}
    // As far as known. Asks the leader anew, without waiting, if the last answer is old.
    std::optional<scheduler::progress> find(const std::string &job);
    // The answer to another controller: every active job's counts, if this controller leads.
    wire::peer_message make_response() const;

  private:
    net::awaitable<void> query_leader();
    void handle_response(const std::string &body);

    net::asio::io_context &io_;
    membership::member &member_;
    leadership_getter get_leadership_;
    std::map<std::string, scheduler::progress> leader_counts_; // by job, as the leader told
    bool query_pending_ = false;
    std::optional<time_point> last_query_at_;
};

} // namespace spindlecroft::control
