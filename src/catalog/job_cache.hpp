// A copy of the job records in each controller, maintained by a watch. One shared read brings it up
// to date for all waiting status queries.
#pragma once
#include "catalog/dependency_graph.hpp"
#include "catalog/ended_job_memory.hpp"
#include "common/time.hpp"
#include "net/async.hpp"
#include "store/key_value_client.hpp"
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace spindlecroft::catalog {

// The record of an active job.
struct cached_job {
    wire::job_record record;
    std::uint64_t revision = 0; // of the record
};

// The outcome of reading a single record.
enum class lookup_outcome {
    found,
    absent,      // the record doesn't exist
    unavailable, // the read failed, or too many such reads are in flight
};

// The result of reading the record of an ended job.
struct ended_lookup {
    lookup_outcome outcome = lookup_outcome::unavailable;
    wire::ended_record record; // if found
};

// Caches the records of active jobs as of revision(), and single records of ended jobs.
class job_cache {
  public:
    job_cache(net::asio::io_context &io, store::key_value_client &state);
    // Follows changes with a watch. This and the next two functions run until stop().
    net::awaitable<void> run_watch();
    // Performs the shared reads for status queries.
    net::awaitable<void> run_reads();
    // Reads, one at a time, the ended records of predecessors whose end isn't known.
    net::awaitable<void> run_predecessor_reads();
    void stop();
    // Sets whether the watch is reopened at short intervals (leader_watch_interval), as a leader
    // needs it, or at longer ones (follower_watch_interval).
    void set_prompt_updates(bool yes) { prompt_updates_ = yes; }

    // Returns true once the cache is at least as new as the call, or false if the key-value store
    // could not be read within the time limit.
    net::awaitable<bool> catch_up(seconds time_limit);
    // Requests a shared read without waiting for it.
    void request_read();
    // Reads the ended record of a job that is neither active nor cached.
    net::awaitable<ended_lookup> read_ended(std::string id);
    // Reads the missing ended records of an active job's direct and indirect predecessors, so that
    // its dependency status is as of the cache's revision. Returns false if a read failed.
    net::awaitable<bool> resolve_predecessors(std::string id);

    // Returns null if the job isn't active.
    [[nodiscard]] const cached_job *find_active(const std::string &id) const;
    // Returns nullopt if the job hasn't ended or its record isn't cached.
    [[nodiscard]] std::optional<wire::ended_record> find_ended(const std::string &id) const;
    // Returns whether the job is known not to exist as of the cache's revision; no read is needed.
    [[nodiscard]] bool is_known_absent(const std::string &id) const { return absent_.contains(id); }
    // Returns the dependency graph of the active jobs.
    [[nodiscard]] const wall_dependency_graph &dependencies() const { return graph_; }
    // Returns the active jobs by id.
    [[nodiscard]] const std::map<std::string, cached_job> &active_jobs() const { return active_; }
    // Returns whether the records have been read at least once.
    [[nodiscard]] bool is_loaded() const { return loaded_; }
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    // Returns a time such that everything durable by then is in the cache.
    [[nodiscard]] time_point fresh_at() const { return fresh_at_; }

    // Called for each new or changed record of an active job.
    std::function<void(const std::string &, const cached_job &)> on_active_job;

  private:
    // Rereads all active records. Returns false if the read failed.
    net::awaitable<bool> load();
    void replace_active_jobs(std::map<std::string, cached_job> &&jobs);
    void handle_watch_result(const store::watch_result &watched);
    void apply(const wire::range_answer &changes);
    // The next two functions may throw malformed_message.
    void apply_change(const kv_item &item);
    void apply_active(const std::string &id, const kv_item &item);

    void put_active(const std::string &id, cached_job job);
    void erase_active(const std::string &id);
    // Passes the known ends of the job's predecessors to the graph.
    void note_known_ends(const std::string &id);
    [[nodiscard]] bool is_active(const std::string &id) const { return active_.count(id) > 0; }
    // Returns the predecessors of active jobs that are neither active nor known to have ended.
    [[nodiscard]] std::set<std::string> unresolved() const;
    void remember_ended(const std::string &id, const wire::ended_record &record);
    void remember_absent(const std::string &id, std::uint64_t revision);
    ended_lookup handle_ended_read(const std::string &id, const store::key_lookup &read);

    store::key_value_client &state_;
    std::map<std::string, cached_job> active_;
    wall_dependency_graph graph_;
    ended_job_cache ended_;
    absent_job_cache absent_;
    std::size_t pending_ended_reads_ = 0; // in flight
    std::uint64_t revision_ = 0;
    time_point fresh_at_ = time_point::min();
    bool loaded_ = false;
    bool stopping_ = false;
    bool needs_reload_ = false; // the store has discarded changes since revision_
    bool prompt_updates_ = false;
    std::uint64_t newest_read_request_ = 0;   // number of the newest request
    std::uint64_t newest_served_request_ = 0; // requests up to this number are served
    net::signal read_requested_, read_completed_;
};

} // namespace spindlecroft::catalog
