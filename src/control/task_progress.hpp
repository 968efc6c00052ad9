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
    using current_leadership = std::function<std::shared_ptr<leadership>()>;
    task_progress(net::asio::io_context &io, membership::member &member, current_leadership current)
        : io_(io), member_(member), current_(std::move(current)) {}
    // As far as known. Asks the leader anew, without waiting, if the last answer is old.
    std::optional<scheduler::progress> of(const std::string &job);
    // The answer to another controller: every active job's counts, if this controller leads.
    wire::peer_message answer() const;

  private:
    net::awaitable<void> ask_leader();
    void take_answer(const std::string &body);

    net::asio::io_context &io_;
    membership::member &member_;
    current_leadership current_;
    std::map<std::string, scheduler::progress> known_; // by job, as the leader told
    bool asking_ = false;
    std::optional<time_point> asked_at_;
};

} // namespace spindlecroft::control
