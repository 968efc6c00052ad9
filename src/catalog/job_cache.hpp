// Every node's copy of the jobs' records, kept by a watch. One shared read brings it up to date for
// all polls that wait.
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

// The record of a job that has not ended.
struct cached_job {
    wire::job_record record;
    std::uint64_t revision = 0; // of the record in the key-value store
};

enum class lookup_outcome {
    found,
    absent,      // there is no such record
    unavailable, // it could not be read, or too many such reads are under way
};

// The answer to the read of the record of a job that ended.
struct ended_lookup {
    lookup_outcome outcome = lookup_outcome::unavailable;
    wire::ended_record record; // where found
};

// Everything here is as of revision(), except for what is read singly.
class job_cache {
  public:
    job_cache(net::asio::io_context &io, store::key_value_client &state);
    // These run until stop(). Takes changes as they come.
    net::awaitable<void> run_watch();
    // Makes the shared reads for polls.
    net::awaitable<void> run_reads();
    // Reads how predecessors ended that this process never heard of, one after another.
    net::awaitable<void> run_predecessor_reads();
    void stop();
    // Whether changes should come as they happen, or only with the reads that polls ask for.
    void set_prompt_updates(bool yes) { prompt_updates_ = yes; }

    // Returns true once the cache is at least as new as the moment of the call; false if the
    // key-value store could not be read within the time.
    net::awaitable<bool> catch_up(seconds time_limit);
    // Asks for a shared read without waiting for it.
    void request_read();
    // Reads the ended record of a job that is neither active nor at hand.
    net::awaitable<ended_lookup> read_ended(std::string id);
    // Reads what is not known of the predecessors of an active job, so that its standing is as of
    // the cache's revision. False: could not be read.
    net::awaitable<bool> resolve_predecessors(std::string id);

    // Nothing: the job is not active.
    [[nodiscard]] const cached_job *find_active(const std::string &id) const;
    // Nothing: it has not ended, or its record is not at hand.
    [[nodiscard]] std::optional<wire::ended_record> find_ended(const std::string &id) const;
    // Nobody has submitted such a job, as of the cache's revision: no read is needed to tell.
    [[nodiscard]] bool is_known_absent(const std::string &id) const { return absent_.contains(id); }
    // The dependencies of active jobs.
    [[nodiscard]] const wall_dependency_graph &dependencies() const { return graph_; }
    // The active jobs, by id.
    [[nodiscard]] const std::map<std::string, cached_job> &active_jobs() const { return active_; }
    // Whether the records were read at all.
    [[nodiscard]] bool is_loaded() const { return loaded_; }
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    // Everything that was durable at this time is in the cache.
    [[nodiscard]] time_point fresh_at() const { return fresh_at_; }

    // Called for each active job's record that is new or has changed.
    std::function<void(const std::string &, const cached_job &)> on_active_job;

  private:
    // Reads all active records anew. False: could not be read.
    net::awaitable<bool> load();
    void replace_active_jobs(std::map<std::string, cached_job> &&jobs);
    void handle_watch_result(const store::watch_result &watched);
    void apply(const wire::range_answer &changes);
    // These may throw malformed_message.
    void apply_change(const kv_item &item);
    void apply_active(const std::string &id, const kv_item &item);

    void put_active(const std::string &id, cached_job job);
    void erase_active(const std::string &id);
    // Notes in the graph what is at hand of the job's predecessors.
    void note_known_ends(const std::string &id);
    [[nodiscard]] bool is_active(const std::string &id) const { return active_.count(id) > 0; }
    // Predecessors of active jobs of which it is not known how they ended.
    [[nodiscard]] std::set<std::string> unresolved() const;
    void remember_ended(const std::string &id, const wire::ended_record &record);
    void remember_absent(const std::string &id, std::uint64_t revision);
    ended_lookup handle_ended_read(const std::string &id, const store::key_lookup &read);

    store::key_value_client &state_;
    std::map<std::string, cached_job> active_;
    wall_dependency_graph graph_;
    ended_job_cache ended_;
    absent_job_cache absent_;
    std::size_t pending_ended_reads_ = 0; // under way
    std::uint64_t revision_ = 0;
    time_point fresh_at_ = time_point::min();
    bool loaded_ = false;
    bool stopping_ = false;
    bool needs_reload_ = false; // the store does not have the changes since revision_ any more
    bool prompt_updates_ = false;
    std::uint64_t newest_read_request_ = 0;   // number of the newest call that waits
    std::uint64_t newest_served_request_ = 0; // calls up to this one are served
    net::signal read_requested_, read_completed_;
};

} // namespace spindlecroft::catalog
