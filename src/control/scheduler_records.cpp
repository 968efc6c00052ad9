// The scheduler's durable records: what is written, in what order, and what follows once it is.
#include "constants.hpp"
#include "control/scheduler.hpp"
#include "store/keys.hpp"
#include <algorithm>
#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace spindlecroft::control {

using catalog::attempt_phase;
namespace c = constants;

durable_write scheduler::end_write(const job_t &j, time_point now) {
    durable_write w;
    w.kind = write_kind::job_end;
    w.job = j.spec.id;
    w.when.push_back({store::keys::active_job(w.job), j.version});
    w.ops.push_back({store::keys::active_job(w.job), "", 0});
    wire::ended_record e;
    e.state = j.cancelled ? job_state::cancelled : job_state::done;
    e.done = j.done_seen;
    e.at = state_.term().clock.to_wall(now); // from then on those that wait for it are ready
    w.ops.push_back({store::keys::ended_job(w.job), wire::encode_ended(e), 0});
    return w;
}

void scheduler::write_placements(std::vector<durable_write> &out, time_point now) {
    std::size_t most_bytes = std::min(most_record_bytes(), c::txn_bytes);
    // Four conditions for each change that a transaction may hold, less the fence's and the
    // record's.
    std::size_t most_jobs = static_cast<std::size_t>(std::max(1, 4 * settings_.txn_ops - 2));
    for (int kind = 0; kind < 2; ++kind) {
        auto &waiting = unplaced_[kind];
        while (!waiting.empty()) {
            auto &name = open_segment_[kind];
            if (name.empty())
                name = fmt::format("{}-{}", state_.term().first_token, ++segment_counter_);
            auto &seg = segments_[name];
            if (seg.busy)
                break; // the next write takes all that gathers meanwhile
            // Guards against placements that take every change the key-value store allows, one for
            // each few tasks, while the records of ended jobs wait and users hear of them too late.
            if (kind == 0 && now < next_placement_)
                break;
            std::erase_if(seg.tasks, [&](auto &t) {
                return !state_.find_attempt({t.job, t.index}, t.attempt);
            });
            seg.bytes = 2;
            for (auto &t : seg.tasks)
                seg.bytes += wire::placed_bytes(t);
            durable_write w;
            w.kind = write_kind::placed;
            w.segment = name;
            std::set<std::string> jobs;
            std::deque<catalog::task_ref> later;
            bool full = false;
            while (!waiting.empty()) {
                auto ref = waiting.front();
                auto *j = state_.find_job(ref.job);
                auto i = j ? j->live.find(ref.index) : decltype(j->live.end()){};
                if (!j || j->over() || i == j->live.end() ||
                    i->second.phase != attempt_phase::committing) {
                    waiting.pop_front();
                    continue;
                }
                if (!j->ready) { // never queued, so never here; checked again before it is durable
                    state_.release_attempt(*j, ref.index, true);
                    waiting.pop_front();
                    continue;
                }
                if (now < j->write_after) {
                    later.push_back(ref);
                    waiting.pop_front();
                    continue;
                }
                wire::placed_task t{ref.job, ref.index, i->second.number, i->second.machine};
                // Guards against writes that cover a few tasks each while queues of many jobs
                // drain: a write takes every task of as many jobs as it may name.
                if (!jobs.count(ref.job) && jobs.size() >= most_jobs) {
                    later.push_back(ref);
                    waiting.pop_front();
                    continue;
                }
                full = seg.bytes + wire::placed_bytes(t) > most_bytes;
                if (full)
                    break;
                waiting.pop_front();
                seg.bytes += wire::placed_bytes(t);
                // A cancel changes the job's record, so it wins over a placement made meanwhile.
                if (jobs.insert(ref.job).second)
                    w.when.push_back({store::keys::active_job(ref.job), j->version});
                w.attempts.emplace_back(ref, t.attempt);
                seg.tasks.push_back(std::move(t));
            }
            waiting.insert(waiting.begin(), later.begin(), later.end());
            if (!w.attempts.empty()) {
                w.ops.push_back({store::keys::placements(name), wire::encode_placed(seg.tasks), 0});
                if (kind == 0 && !full)
                    next_placement_ =
                        now + seconds{1} / (c::placement_share * c::leader_write_share *
                                            c::state_share * settings_.state_write_rps);
                seg.busy = true;
                out.push_back(std::move(w));
            }
            if (!full)
                break;
            seg.open = false;
            name.clear();
        }
    }
}

void scheduler::clean_up(const std::string &key) {
    durable_write w;
    w.kind = write_kind::cleanup;
    w.ops.push_back({key, "", 0});
    cleanup_.push_back(std::move(w));
}

void scheduler::write_rentals(std::vector<durable_write> &out) {
    for (auto &change : fleet_.take_record_changes()) {
        durable_write write;
        write.kind = write_kind::rental_request;
        write.rental_request = change.round;
        auto value = change.record ? wire::encode_rental_record(*change.record) : "";
        write.ops.push_back({store::keys::rentals(change.round), std::move(value), 0});
        out.push_back(std::move(write));
    }
}

// Records whose placements have all ended are dropped.
void scheduler::sweep_segments(time_point now) {
    if (!elapsed(last_sweep_, c::sweep_gap, now))
        return;
    last_sweep_ = now;
    for (auto i = segments_.begin(); i != segments_.end();) {
        auto &seg = i->second;
        if (seg.busy || seg.open) {
            ++i;
            continue;
        }
        std::erase_if(seg.tasks, [&](auto &t) {
            return !state_.find_attempt({t.job, t.index}, t.attempt);
        });
        if (!seg.tasks.empty()) {
            ++i;
            continue;
        }
        clean_up(store::keys::placements(i->first));
        i = segments_.erase(i);
    }
    for (auto i = done_records_.begin(); i != done_records_.end();) {
        auto &r = i->second;
        std::erase_if(r.parts, [&](auto &p) { return !state_.find_job(p.first); });
        if (r.busy || r.open || !r.parts.empty()) {
            ++i;
            continue;
        }
        clean_up(store::keys::done_tasks(i->first));
        i = done_records_.erase(i);
    }
}

std::size_t scheduler::most_record_bytes() const {
    return static_cast<std::size_t>(c::placed_fill * settings_.value_kb * 1024);
}

// The record that takes the next part of so many bytes.
std::string scheduler::open_done_record(std::size_t bytes) {
    auto open = done_records_.find(open_done_);
    if (open != done_records_.end() && open->second.bytes + bytes <= most_record_bytes())
        return open_done_;
    if (open != done_records_.end())
        open->second.open = false;
    open_done_ = fmt::format("{}-{}", state_.term().first_token, ++done_counter_);
    done_records_.emplace(open_done_, done_record{});
    return open_done_;
}

// Guards against a record that an earlier version filled under larger limits and that can't be
// written any more: it stays as it is until its jobs have ended, and what is new of a part goes
// into another record. A part in two records is done where either says so.
void scheduler::note_done(job_t &j, std::uint32_t index, time_point now) {
    auto part = static_cast<std::uint32_t>(index / c::part_done);
    auto &name = j.done_in[part];
    if (name.empty() || done_records_[name].too_large) {
        auto tasks = std::min<std::size_t>(j.spec.tasks - part * c::part_done, c::part_done);
        auto bytes = wire::done_bytes(j.spec.id, tasks);
        name = open_done_record(bytes);
        auto &open = done_records_[name];
        open.bytes += bytes;
        open.parts.insert({j.spec.id, part});
    }
    auto &r = done_records_[name];
    if (!r.dirty)
        r.since = now;
    r.dirty = true;
}

// A job's last done tasks are in its ended record; until then all jobs share a few records.
void scheduler::write_done(std::vector<durable_write> &out, time_point now, std::size_t &room) {
    std::vector<std::pair<time_point, std::string>> due;
    for (auto &[name, r] : done_records_)
        if (r.dirty && !r.busy && now - r.since >= c::done_gap)
            due.emplace_back(r.since, name);
    std::sort(due.begin(), due.end());
    for (auto &[since, name] : due) {
        if (room == 0)
            break;
        auto &r = done_records_[name];
        r.dirty = false;
        durable_write w;
        w.kind = write_kind::done;
        w.segment = name;
        std::vector<wire::done_part> parts;
        for (auto i = r.parts.begin(); i != r.parts.end();) {
            auto *j = state_.find_job(i->first);
            if (!j || j->over()) {
                i = r.parts.erase(i); // its ended record tells all
                continue;
            }
            wire::done_part p{i->first, i->second, {}};
            auto first = i->second * c::part_done;
            for (auto k = first; k < std::min<std::size_t>(j->spec.tasks, first + c::part_done);
                 ++k) {
                p.bits.push_back(j->done[k]);
                if (j->done[k] && !j->done_durable[k])
                    w.done.push_back({i->first, static_cast<std::uint32_t>(k)});
            }
            parts.push_back(std::move(p));
            ++i;
        }
        if (w.done.empty())
            continue;
        w.ops.push_back({store::keys::done_tasks(name), wire::encode_done(parts), 0});
        r.busy = true;
        out.push_back(std::move(w));
        --room;
    }
}

// Guards against a new leader that tries every task of a job that fails everywhere once more, and
// blames the machines for it.
void scheduler::write_suspects(std::vector<durable_write> &out, time_point now) {
    if (suspects_busy_ || !elapsed(suspects_at_, c::suspects_gap, now))
        return;
    auto most = most_record_bytes();
    std::vector<std::string> jobs;
    std::size_t bytes = wire::suspects_bytes("");
    for (auto &id : state_.failures().suspects()) {
        bytes += wire::suspects_bytes(id);
        if (bytes > most)
            break;
        jobs.push_back(id);
    }
    if (jobs == suspects_written_)
        return;
    suspects_at_ = now;
    suspects_busy_ = true;
    durable_write w;
    w.kind = write_kind::suspects;
    w.ops.push_back({store::keys::suspect_jobs, wire::encode_suspects(jobs), 0});
    w.suspects = std::move(jobs);
    out.push_back(std::move(w));
}

void scheduler::on_done_written(const durable_write &w, bool ok, time_point now) {
    auto r = done_records_.find(w.segment);
    if (r != done_records_.end()) {
        r->second.busy = false;
        if (!ok) {
            r->second.dirty = true;
            r->second.since = now + c::state_retry - c::done_gap;
        }
    }
    if (!ok)
        return;
    for (auto &t : w.done) {
        auto *j = state_.find_job(t.job);
        if (!j)
            continue;
        if (!j->done_durable[t.index]) {
            j->done_durable[t.index] = true;
            ++j->done_count;
        }
        if (auto i = j->live.find(t.index);
            i != j->live.end() && i->second.phase == attempt_phase::exited)
            state_.release_attempt(*j, t.index, false);
    }
}

std::vector<durable_write> scheduler::take_writes(time_point now, std::size_t room) {
    std::vector<durable_write> out;
    if (!ready_)
        return out;
    write_placements(out, now);
    sweep_segments(now);
    for (auto &[id, j] : state_.jobs()) {
        if (j.end_writing || j.ended || now < j.write_after)
            continue;
        bool complete =
            !j.cancelled && j.spec.shape == job_shape::array && j.done_seen == j.spec.tasks;
        bool cleared = j.cancelled && j.live.empty();
        if (complete)
            for (auto &[i, a] : j.live)
                if (a.phase != attempt_phase::exited)
                    complete = false;
        if (complete || cleared) {
            j.end_writing = true;
            out.push_back(end_write(j, now));
        }
    }
    write_done(out, now, room);
    write_rentals(out);
    write_suspects(out, now);
    while (!cleanup_.empty() && room > 0) {
        out.push_back(std::move(cleanup_.back()));
        cleanup_.pop_back();
        --room;
    }
    return out;
}

void scheduler::on_placements_written(const durable_write &w, bool ok, time_point now) {
    if (auto seg = segments_.find(w.segment); seg != segments_.end())
        seg->second.busy = false;
    for (auto &[ref, number] : w.attempts) {
        auto *j = state_.find_job(ref.job);
        if (!j)
            continue;
        if (!ok)
            j->write_after = now + c::state_retry; // by then the watch tells what changed
        auto *a = state_.find_attempt(ref, number);
        if (!a || a->phase != attempt_phase::committing)
            continue;
        auto m = state_.machines().find(a->machine);
        if (!ok || j->over() || m == state_.machines().end() || !m->second.usable()) {
            state_.release_attempt(*j, ref.index, true);
            continue;
        }
        a->phase = attempt_phase::committed;
        state_.mark_urgent(a->machine);
    }
}

void scheduler::on_written(const durable_write &w, bool ok, std::uint64_t, time_point now) {
    state_.request_planning();
    if (w.kind == write_kind::rental_request) {
        using fleet::rental_record_outcome;
        bool dropped = w.ops.front().value.empty();
        fleet_.on_record_written(w.rental_request, !ok       ? rental_record_outcome::failed
                                                   : dropped ? rental_record_outcome::dropped
                                                             : rental_record_outcome::written);
        return;
    }
    if (w.kind == write_kind::placed) {
        on_placements_written(w, ok, now);
        return;
    }
    if (w.kind == write_kind::suspects) {
        suspects_busy_ = false;
        if (ok)
            suspects_written_ = w.suspects;
        return;
    }
    if (w.kind == write_kind::done) {
        on_done_written(w, ok, now);
        return;
    }
    auto *j = state_.find_job(w.job);
    if (!j)
        return;
    switch (w.kind) {
    case write_kind::job_end:
        if (!ok) {
            // A cancel came first; the watch will tell.
            j->end_writing = false;
            j->write_after = now + c::state_retry;
            break;
        }
        while (!j->live.empty())
            state_.release_attempt(*j, j->live.begin()->first, false);
        state_.jobs().erase(w.job);
        graph_.remove(w.job);
        note_own_end(w, now);
        break;
    case write_kind::placed:
    case write_kind::done:
    case write_kind::cleanup:
    case write_kind::rental_request:
    case write_kind::suspects:
        break;
    }
}

} // namespace spindlecroft::control
