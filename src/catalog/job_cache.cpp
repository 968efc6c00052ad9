#include "catalog/job_cache.hpp"
#include "constants.hpp"
#include "store/keys.hpp"

namespace spindlecroft::catalog {

namespace c = constants;
using net::awaitable;
using net::steady_now;

job_cache::job_cache(net::asio::io_context &io, store::key_value_client &state)
    : io_(io), state_(state), wake_(io), served_(io) {}

void job_cache::stop() {
    stopping_ = true;
    wake_.notify();
    served_.notify();
}

const cached_job *job_cache::active(const std::string &id) const {
    auto i = active_.find(id);
    return i == active_.end() ? nullptr : &i->second;
}

std::optional<wire::ended_record> job_cache::ended(const std::string &id) const {
    auto i = ended_.find(id);
    if (i == ended_.end())
        return std::nullopt;
    return i->second;
}

void job_cache::take_active(const std::string &id, cached_job job) {
    auto &kept = active_[id] = std::move(job);
    if (kept.record.spec.predecessors.empty())
        graph_.remove(id);
    else
        graph_.add(id, kept.record.spec.predecessors);
    if (kept.record.cancelled)
        graph_.note_end(id, {job_state::cancelled, kept.record.cancelled_at});
}

void job_cache::drop_active(const std::string &id) {
    active_.erase(id);
    graph_.remove(id);
}

void job_cache::settle(const std::string &id) {
    auto *node = graph_.find(id);
    if (!node)
        return;
    for (auto &predecessor : node->predecessors) {
        if (graph_.end_of(predecessor))
            continue;
        auto a = active_.find(predecessor);
        if (a != active_.end() && a->second.record.cancelled)
            graph_.note_end(predecessor, {job_state::cancelled, a->second.record.cancelled_at});
        else if (auto e = ended(predecessor))
            graph_.note_end(predecessor, {e->state, e->at});
    }
}

std::set<std::string> job_cache::unresolved() const {
    return graph_.unresolved([&](const std::string &id) { return active_.count(id) > 0; });
}

void job_cache::remember(const std::string &id, const wire::ended_record &r) {
    graph_.note_end(id, {r.state, r.at});
    if (ended_.emplace(id, r).second) {
        ended_order_.push_back(id);
        if (ended_order_.size() > c::ended_in_memory) {
            ended_.erase(ended_order_.front());
            ended_order_.pop_front();
        }
    }
}

// Guards against users who ask again and again about jobs that nobody submitted: each question
// would cost a request at the key-value store. The watch tells of every job that is submitted
// later. A read older than the cache says nothing about what the cache has seen since.
void job_cache::remember_absent(const std::string &id, std::uint64_t revision) {
    if (revision < revision_ || active_.count(id) || !absent_.insert(id).second)
        return;
    absent_order_.push_back(id);
    if (absent_order_.size() > c::absent_in_memory) {
        absent_.erase(absent_order_.front());
        absent_order_.pop_front();
    }
}

awaitable<std::optional<std::optional<wire::ended_record>>> job_cache::read_ended(std::string id) {
    if (ended_reads_ >= c::ended_reads)
        co_return std::nullopt;
    ++ended_reads_;
    auto i = co_await state_.get(store::keys::ended_job(id), store::request_priority::done);
    --ended_reads_;
    if (!i)
        co_return std::nullopt;
    if (!i->found) {
        remember_absent(id, i->revision);
        co_return std::optional<std::optional<wire::ended_record>>(std::in_place, std::nullopt);
    }
    try {
        auto r = wire::parse_ended(i->item.value);
        remember(id, r);
        co_return std::optional<std::optional<wire::ended_record>>(std::in_place, r);
    } catch (const wire::malformed_message &e) {
        spdlog::error("{}: can't be read: {}", i->item.key, e.what());
        co_return std::nullopt;
    }
}

awaitable<bool> job_cache::load() {
    auto a = co_await state_.list(store::keys::active_jobs_prefix, store::request_priority::accept);
    if (!a)
        co_return false;
    std::map<std::string, cached_job> fresh;
    const std::string prefix = store::keys::active_jobs_prefix;
    for (auto &i : a->items) {
        try {
            fresh[i.key.substr(prefix.size())] = {wire::parse_job_record(i.value), i.version};
        } catch (const wire::malformed_message &e) {
            spdlog::error("{}: {}", i.key, e.what());
        }
    }
    active_.clear();
    graph_.clear();
    for (auto &[id, j] : fresh)
        take_active(id, std::move(j));
    for (auto &[id, j] : active_)
        settle(id);
    absent_.clear(); // changes were missed
    absent_order_.clear();
    revision_ = a->revision;
    loaded_ = true;
    reload_ = false;
    if (on_active)
        for (auto &[id, j] : active_)
            on_active(id, j);
    co_return true;
}

// The answer holds every change after its `since` up to its revision. Since the cache is at a
// revision not below that `since`, what is newer than the cache brings it to the answer's.
void job_cache::apply(const wire::range_answer &a) {
    if (a.revision <= revision_)
        return;
    const std::string active = store::keys::active_jobs_prefix,
                      ended = store::keys::ended_jobs_prefix;
    for (auto &i : a.items) {
        if (i.version <= revision_)
            continue;
        try {
            if (i.key.starts_with(active)) {
                auto id = i.key.substr(active.size());
                absent_.erase(id);
                if (i.value.empty()) {
                    drop_active(id);
                } else {
                    take_active(id, {wire::parse_job_record(i.value), i.version});
                    settle(id);
                    if (on_active)
                        on_active(id, active_.at(id));
                }
            } else if (i.key.starts_with(ended) && !i.value.empty()) {
                remember(i.key.substr(ended.size()), wire::parse_ended(i.value));
            }
        } catch (const wire::malformed_message &e) {
            spdlog::error("{}: {}", i.key, e.what());
        }
    }
    revision_ = a.revision;
}

void job_cache::take_changes(const store::watch_result &watched) {
    switch (watched.outcome) {
    case store::watch_outcome::changes:
        apply(watched.changes);
        break;
    case store::watch_outcome::compacted:
        reload_ = true;
        break;
    case store::watch_outcome::failed:
        break;
    }
}

// Changes as they come, without anybody asking.
awaitable<void> job_cache::run_watch() {
    while (!stopping_) {
        if (!loaded_ || reload_) {
            if (!co_await load())
                co_await net::sleep_for(c::state_retry);
            continue;
        }
        auto watched = co_await state_.watch(store::keys::jobs_prefix, revision_, c::watch_hold_ms,
                                             store::request_priority::placement);
        take_changes(watched);
        bool answered = watched.outcome == store::watch_outcome::changes;
        co_await net::sleep_for(!answered ? c::state_retry
                                : prompt_ ? c::watch_gap
                                          : c::follower_watch_gap);
    }
}

awaitable<bool> job_cache::resolve_predecessors(std::string id) {
    auto active = [this](const std::string &other) { return active_.count(other) > 0; };
    for (;;) {
        auto missing = graph_.unresolved_for(id, active);
        if (missing.empty())
            co_return true;
        for (auto &predecessor : missing)
            if (auto e = co_await read_ended(predecessor); !e || !*e)
                co_return false;
    }
}

awaitable<void> job_cache::run_predecessor_reads() {
    while (!stopping_) {
        for (auto &predecessor : unresolved()) {
            // Its record may have come meanwhile.
            if (stopping_ || graph_.end_of(predecessor))
                continue;
            (void)co_await read_ended(predecessor);
            co_await net::sleep_for(c::predecessor_read_gap);
        }
        co_await net::sleep_for(c::predecessor_read_gap);
    }
}

// The shared reads for polls.
awaitable<void> job_cache::run_reads() {
    while (!stopping_) {
        if (reads_wanted_ == reads_done_ || !loaded_) {
            co_await wake_.wait_for(seconds{loaded_ ? 1.0 : 0.1});
            continue;
        }
        auto serving = reads_wanted_;
        auto sent = steady_now();
        auto watched = co_await state_.watch(store::keys::jobs_prefix, revision_, 0,
                                             store::request_priority::accept);
        take_changes(watched);
        if (watched.outcome == store::watch_outcome::changes) {
            fresh_at_ = sent;
            reads_done_ = serving;
            served_.notify();
            co_await net::sleep_for(c::fence_gap);
        } else {
            co_await net::sleep_for(c::state_retry);
        }
    }
}

void job_cache::want_read() {
    if (reads_wanted_ == reads_done_) {
        ++reads_wanted_;
        wake_.notify();
    }
}

awaitable<bool> job_cache::catch_up(seconds time_limit) {
    auto mine = ++reads_wanted_;
    auto limit = steady_now() + time_limit;
    wake_.notify();
    while (!stopping_ && reads_done_ < mine) {
        auto left = limit - steady_now();
        if (left <= seconds{0})
            co_return false;
        co_await served_.wait_for(left);
    }
    // Guards against an answer from before the process stood still.
    co_return !stopping_ && steady_now() <= limit;
}

} // namespace spindlecroft::catalog
