// The contents of the cache, and how records and changes are applied to it.
#include "catalog/job_cache.hpp"
#include "constants.hpp"
#include "store/keys.hpp"
#include <string_view>

namespace spindlecroft::catalog {

namespace c = constants;
namespace keys = store::keys;
using net::awaitable;

namespace {

// Returns the part of a key after its prefix.
std::string id_of(const std::string &key, std::string_view prefix) {
    return key.substr(prefix.size());
}

} // namespace

job_cache::job_cache(net::asio::io_context &io, store::key_value_client &state)
    : state_(state), ended_(c::max_cached_ended_jobs), absent_(c::max_cached_absent_jobs),
      read_requested_(io), read_completed_(io) {}

void job_cache::stop() {
    stopping_ = true;
    read_requested_.notify();
    read_completed_.notify();
}

const cached_job *job_cache::find_active(const std::string &id) const {
    auto found = active_.find(id);
    return found == active_.end() ? nullptr : &found->second;
}

std::optional<wire::ended_record> job_cache::find_ended(const std::string &id) const {
    if (auto *record = ended_.find(id))
        return *record;
    return std::nullopt;
}

std::set<std::string> job_cache::unresolved() const {
    return graph_.unresolved([this](const std::string &id) { return is_active(id); });
}

void job_cache::put_active(const std::string &id, cached_job job) {
    auto &kept = active_[id] = std::move(job);
    if (kept.record.spec.predecessors.empty())
        graph_.remove(id);
    else
        graph_.add(id, kept.record.spec.predecessors);
    if (kept.record.cancelled)
        graph_.note_end(id, {job_state::cancelled, kept.record.cancelled_at});
}

void job_cache::erase_active(const std::string &id) {
    active_.erase(id);
    graph_.remove(id);
}

void job_cache::note_known_ends(const std::string &id) {
    auto *node = graph_.find(id);
    if (!node)
        return;
    for (auto &predecessor : node->predecessors) {
        if (graph_.end_of(predecessor))
            continue;
        auto *job = find_active(predecessor);
        if (job && job->record.cancelled)
            graph_.note_end(predecessor, {job_state::cancelled, job->record.cancelled_at});
        else if (auto end = find_ended(predecessor))
            graph_.note_end(predecessor, {end->state, end->ended_at});
    }
}

void job_cache::remember_ended(const std::string &id, const wire::ended_record &record) {
    graph_.note_end(id, {record.state, record.ended_at});
    ended_.add(id, record);
}

// Remembers that a job doesn't exist; the watch reports jobs that are submitted later. A read older
// than the cache is ignored, because the job may have been submitted since.
void job_cache::remember_absent(const std::string &id, std::uint64_t revision) {
    if (revision < revision_ || is_active(id))
        return;
    absent_.add(id);
}

awaitable<bool> job_cache::load() {
    auto listed =
        co_await state_.list(keys::active_jobs_prefix, store::request_priority::user_request);
    if (!listed)
        co_return false;
    std::map<std::string, cached_job> jobs;
    for (auto &item : listed->items) {
        try {
            jobs[id_of(item.key, keys::active_jobs_prefix)] = {wire::parse_job_record(item.value),
                                                               item.revision};
        } catch (const wire::malformed_message &error) {
            spdlog::error("ignoring malformed job record {}: {}", item.key, error.what());
        }
    }
    replace_active_jobs(std::move(jobs));
    revision_ = listed->revision;
    loaded_ = true;
    needs_reload_ = false;
    if (on_active_job)
        for (auto &[id, job] : active_)
            on_active_job(id, job);
    co_return true;
}

void job_cache::replace_active_jobs(std::map<std::string, cached_job> &&jobs) {
    active_.clear();
    graph_.clear();
    for (auto &[id, job] : jobs)
        put_active(id, std::move(job));
    for (auto &[id, job] : active_)
        note_known_ends(id);
    absent_.clear(); // submissions may have been missed
}

void job_cache::handle_watch_result(const store::watch_result &watched) {
    switch (watched.outcome) {
    case store::watch_outcome::changes:
        apply(watched.changes);
        break;
    case store::watch_outcome::compacted:
        needs_reload_ = true;
        break;
    case store::watch_outcome::failed:
        break;
    }
}

// Applies the changes that are newer than the cache. The response holds every change after its
// `since` up to its revision, and the cache's revision is not below `since`: afterwards the cache
// is at the revision of the response.
void job_cache::apply(const wire::range_answer &changes) {
    if (changes.revision <= revision_)
        return;
    for (auto &item : changes.items) {
        if (item.revision <= revision_)
            continue;
        try {
            apply_change(item);
        } catch (const wire::malformed_message &error) {
            spdlog::error("ignoring malformed job record {}: {}", item.key, error.what());
        }
    }
    revision_ = changes.revision;
}

void job_cache::apply_change(const kv_item &item) {
    if (item.key.starts_with(keys::active_jobs_prefix))
        apply_active(id_of(item.key, keys::active_jobs_prefix), item);
    else if (item.key.starts_with(keys::ended_jobs_prefix) && !item.value.empty())
        remember_ended(id_of(item.key, keys::ended_jobs_prefix),
                       wire::parse_ended_record(item.value));
}

void job_cache::apply_active(const std::string &id, const kv_item &item) {
    absent_.remove(id);
    if (item.value.empty()) {
        erase_active(id);
        return;
    }
    put_active(id, {wire::parse_job_record(item.value), item.revision});
    note_known_ends(id);
    if (on_active_job)
        on_active_job(id, active_.at(id));
}

} // namespace spindlecroft::catalog
