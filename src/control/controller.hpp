// The controller node: wires servers, clients, membership, the jobs' cache and the scheduler
// together.
#pragma once
#include "catalog/job_cache.hpp"
#include "common/time.hpp"
#include "control/scheduler.hpp"
#include "membership/member.hpp"
#include "net/http.hpp"
#include "store/committer.hpp"
#include <memory>

namespace spindlecroft::control {

class controller {
  public:
    controller(net::asio::io_context &io, const settings::settings &s);
    void start();
    void stop();

  private:
    struct leadership; // what exists only while this node leads

    // users and workers
    net::awaitable<net::response> on_api(net::request r);
    net::awaitable<net::response> on_submit(std::string body);
    net::awaitable<net::response> on_poll(std::string id);
    net::awaitable<net::response> on_cancel(std::string id);
    net::awaitable<net::response> on_checkin(std::string body);
    net::response ready() const;
    // The job's state as of now; nothing: could not be read. Holds nothing: never accepted.
    net::awaitable<std::optional<std::optional<job_status>>> current(std::string id);
    net::awaitable<std::optional<store::write_outcome>> commit(store::write_unit u,
                                                               seconds time_limit);
    net::response cut_off() const;
    std::string rejection(const job_spec &s) const;
    // What a submission's predecessors make of it.
    struct dependency_check {
        enum class verdict { fine, unsure, impossible } how = verdict::fine;
        std::string why;                     // impossible
        std::vector<std::string> unfinished; // those still to be waited for
        bool cancelled = false;              // one of them is: so is the job
    };
    net::awaitable<dependency_check> check_predecessors(std::vector<std::string> predecessors);

    // other controllers
    net::awaitable<net::response> on_peer(net::request r);
    net::awaitable<void> fetch_progress();
    net::awaitable<void> load_types();

    // leading
    void elected();
    void deposed();
    net::awaitable<void> fail_over(std::shared_ptr<leadership> l);
    net::awaitable<void> run_control_loop(std::shared_ptr<leadership> l);
    net::awaitable<void> watch_cloud(std::shared_ptr<leadership> l);
    net::awaitable<void> rent(std::shared_ptr<leadership> l, rental_request r);
    net::awaitable<void> remove(std::shared_ptr<leadership> l, std::vector<std::string> names);
    net::awaitable<void> send_commands(std::shared_ptr<leadership> l, std::string machine);
    net::awaitable<net::reply> cloud_call(std::shared_ptr<leadership> l, std::string method,
                                          std::string target, std::string body);
    bool may_renew(time_point now) const;
    // What the records say of predecessors that the scheduler knows nothing of.
    void tell_predecessor_ends(scheduler &core, time_point now) const;
    void apply_cancel(const cancel_notice &n);
    bool may_act(const std::shared_ptr<leadership> &l) const;

    net::asio::io_context &io_;
    settings::settings settings_;
    settings::socket_plan sockets_;
    store::key_value_client state_;
    membership::member member_;
    catalog::job_cache cache_;
    store::committer user_commits_;
    net::client cloud_;
    store::budget cloud_budget_;
    std::optional<std::vector<machine_type>> types_;
    std::shared_ptr<leadership> lead_;
    std::map<std::string, scheduler::progress> progress_; // as the leader told
    bool progress_busy_ = false;
    std::optional<time_point> progress_at_;
    bool stopping_ = false;
    net::server api_;
    net::server back_;
};

} // namespace spindlecroft::control
