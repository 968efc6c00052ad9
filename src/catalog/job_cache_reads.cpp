// Keeps the cache up to date: the watch, shared reads for status queries, and reads of single
// records of ended jobs.
#include "catalog/job_cache.hpp"
#include "constants.hpp"
#include "store/keys.hpp"

namespace spindlecroft::catalog {

namespace c = constants;
namespace keys = store::keys;
using net::awaitable;
using net::steady_now;

namespace {

// Longest wait for a notification that a read is requested.
constexpr seconds idle_wait{1.0};
constexpr seconds unloaded_wait{0.1}; // the same before the first load

} // namespace

// Follows the changes of the job records with a long-polling watch.
awaitable<void> job_cache::run_watch() {
    while (!stopping_) {
        if (!loaded_ || needs_reload_) {
            if (!co_await load())
                co_await net::sleep_for(c::key_value_retry_delay);
            continue;
        }
        auto watched = co_await state_.watch(keys::jobs_prefix, revision_, c::watch_hold_ms,
                                             store::request_priority::placement);
        handle_watch_result(watched);
        if (watched.outcome != store::watch_outcome::changes)
            co_await net::sleep_for(c::key_value_retry_delay);
        else
            co_await net::sleep_for(prompt_updates_ ? c::leader_watch_interval
                                                    : c::follower_watch_interval);
    }
}

// --- shared reads ---

awaitable<void> job_cache::run_reads() {
    while (!stopping_) {
        if (newest_read_request_ == newest_served_request_ || !loaded_) {
            co_await read_requested_.wait_for(loaded_ ? idle_wait : unloaded_wait);
            continue;
        }
        auto serving = newest_read_request_;
        auto sent_at = steady_now();
        auto watched = co_await state_.watch(keys::jobs_prefix, revision_, 0,
                                             store::request_priority::user_request);
        handle_watch_result(watched);
        if (watched.outcome != store::watch_outcome::changes) {
            co_await net::sleep_for(c::key_value_retry_delay);
            continue;
        }
        fresh_at_ = sent_at;
        newest_served_request_ = serving;
        read_completed_.notify();
        co_await net::sleep_for(c::shared_read_interval);
    }
}

void job_cache::request_read() {
    if (newest_read_request_ != newest_served_request_)
        return;
    ++newest_read_request_;
    read_requested_.notify();
}

awaitable<bool> job_cache::catch_up(seconds time_limit) {
    auto mine = ++newest_read_request_;
    auto limit = steady_now() + time_limit;
    read_requested_.notify();
    while (!stopping_ && newest_served_request_ < mine) {
        auto left = limit - steady_now();
        if (left <= seconds{0})
            co_return false;
        co_await read_completed_.wait_for(left);
    }
    // Rejects a response that is out of date because the process was suspended meanwhile.
    co_return !stopping_ && steady_now() <= limit;
}

// --- records of jobs that ended ---

awaitable<ended_lookup> job_cache::read_ended(std::string id) {
    if (pending_ended_reads_ >= c::max_concurrent_ended_reads)
        co_return ended_lookup{};
    ++pending_ended_reads_;
    auto read = co_await state_.get(keys::ended_job(id), store::request_priority::job_end);
    --pending_ended_reads_;
    co_return read ? handle_ended_read(id, *read) : ended_lookup{};
}

ended_lookup job_cache::handle_ended_read(const std::string &id, const store::key_lookup &read) {
    if (!read.found) {
        remember_absent(id, read.revision);
        return {lookup_outcome::absent, {}};
    }
    try {
        auto record = wire::parse_ended_record(read.item.value);
        remember_ended(id, record);
        return {lookup_outcome::found, record};
    } catch (const wire::malformed_message &error) {
        spdlog::error("malformed record {} of an ended job: {}", read.item.key, error.what());
        return {};
    }
}

awaitable<bool> job_cache::resolve_predecessors(std::string id) {
    auto active = [this](const std::string &other) { return is_active(other); };
    for (;;) {
        auto missing = graph_.unresolved_for(id, active);
        if (missing.empty())
            co_return true;
        for (auto &predecessor : missing) {
            auto read = co_await read_ended(predecessor);
            if (read.outcome != lookup_outcome::found)
                co_return false;
        }
    }
}

awaitable<void> job_cache::run_predecessor_reads() {
    while (!stopping_) {
        for (auto &predecessor : unresolved()) {
            // Its record may have arrived during an earlier read.
            if (stopping_ || graph_.end_of(predecessor))
                continue;
            (void)co_await read_ended(predecessor);
            co_await net::sleep_for(c::predecessor_read_interval);
        }
        co_await net::sleep_for(c::predecessor_read_interval);
    }
}

} // namespace spindlecroft::catalog
