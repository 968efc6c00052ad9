// Every node's copy of the jobs' records, kept by a watch. One shared read brings it up to date for
// all polls that wait.
#pragma once
#include "catalog/dependency_graph.hpp"
#include "common/time.hpp"
#include "net/async.hpp"
#include "store/key_value_client.hpp"
#include <deque>
#include <functional>
#include <map>
#include <unordered_map>
#include <unordered_set>

namespace spindlecroft::catalog {

struct cached_job {
    wire::job_record record;
    std::uint64_t version = 0;
};

class job_cache {
  public:
    job_cache(net::asio::io_context &io, store::key_value_client &state);
    net::awaitable<void> run_watch();
    net::awaitable<void> run_reads();
    // Reads how predecessors ended that this process never heard of, one after another.
    net::awaitable<void> run_predecessor_reads();
    void stop();
    // Whether changes should come as they happen, or only with the reads that polls ask for.
    void prompt(bool yes) { prompt_ = yes; }

    // Returns true once the cache is at least as new as the moment of the call; false if the
    // key-value store could not be read within the time.
    net::awaitable<bool> catch_up(seconds time_limit);
    // Asks for a shared read without waiting for it.
    void want_read();
    const cached_job *active(const std::string &id) const;
    std::optional<wire::ended_record> ended(const std::string &id) const;
    // Reads the ended record of a job that is neither active nor at hand.
    // Nothing: could not be read, or too many such reads are under way. Holds nothing: there is
    // none.
    net::awaitable<std::optional<std::optional<wire::ended_record>>> read_ended(std::string id);
    // Nobody has submitted such a job, as of the cache's revision: no read is needed to tell.
    bool known_absent(const std::string &id) const { return absent_.count(id) > 0; }
    // Reads what is not known of the predecessors of an active job, so that its standing is as of
    // the cache's revision. False: could not be read.
    net::awaitable<bool> resolve_predecessors(std::string id);
    // The dependencies of active jobs.
    const wall_dependency_graph &dependencies() const { return graph_; }
    const std::map<std::string, cached_job> &all() const { return active_; }
    bool loaded() const { return loaded_; }
    std::uint64_t revision() const { return revision_; }
    // Everything that was durable at this time is in the cache.
    time_point fresh_at() const { return fresh_at_; }

    std::function<void(const std::string &, const cached_job &)> on_active;

  private:
    net::awaitable<bool> load();
    void apply(const wire::range_answer &a);
    void take_changes(const store::watch_result &watched);
    void take_active(const std::string &id, cached_job job);
    void drop_active(const std::string &id);
    // Notes in the graph what is at hand of the job's predecessors.
    void settle(const std::string &id);
    std::set<std::string> unresolved() const;
    void remember(const std::string &id, const wire::ended_record &r);
    void remember_absent(const std::string &id, std::uint64_t revision);
    net::asio::io_context &io_;
    store::key_value_client &state_;
    std::map<std::string, cached_job> active_;
    wall_dependency_graph graph_;
    std::unordered_map<std::string, wire::ended_record> ended_;
    std::deque<std::string> ended_order_;
    std::unordered_set<std::string> absent_;
    std::deque<std::string> absent_order_; // oldest first; may name some that are not in the set
    std::size_t ended_reads_ = 0;          // under way
    std::uint64_t revision_ = 0;
    time_point fresh_at_ = time_point::min();
    bool loaded_ = false, stopping_ = false, reload_ = false, prompt_ = false;
    std::uint64_t reads_wanted_ = 0; // number of the newest call that waits
    std::uint64_t reads_done_ = 0;   // calls up to this one are served
    net::signal wake_, served_;
};

} // namespace spindlecroft::catalog
