#include "records/done_records.hpp"
#include "constants.hpp"
#include "records/record_sizes.hpp"
#include "store/keys.hpp"
#include <algorithm>
#include <utility>

namespace spindlecroft::records {

using catalog::attempt_phase;

namespace {

std::size_t first_task_of(std::uint32_t part) {
    return part * constants::tasks_per_done_part;
}

// Returns one past the last task of the part.
std::size_t end_of_part(const catalog::job &job, std::uint32_t part) {
    return std::min<std::size_t>(job.spec.tasks,
                                 first_task_of(part) + constants::tasks_per_done_part);
}

} // namespace

// --- loading after a failover ---

void done_records::load(const std::string &name, const std::vector<wire::done_part> &parts) {
    auto &loaded = records_[name];
    for (const auto &part : parts)
        load_part(name, loaded, part);
    loaded.fill_state =
        loaded.bytes > max_record_bytes(settings_) ? record_state::too_large : record_state::closed;
}

void done_records::load_part(const std::string &name, record &into, const wire::done_part &part) {
    auto *job = state_.find_job(part.job);
    if (!job)
        return;
    into.parts.insert({part.job, part.part});
    into.bytes += wire::done_part_bytes(part.job, part.bits.size());
    job->done_record_of_part[part.part] = name;
    for (std::size_t offset = 0; offset < part.bits.size(); ++offset) {
        auto index = first_task_of(part.part) + offset;
        if (!part.bits[offset] || index >= job->done.size() || job->done[index])
            continue;
        job->done[index] = true;
        job->done_durable[index] = true;
        ++job->durable_done_count;
        ++job->reported_done_count;
    }
}

// --- recording done tasks ---

// Assigns the part to another record if its own one is too large to be written: an earlier version
// may have filled it under larger limits. The old record stays unchanged until its jobs have ended.
// If two records contain a part, a task is done if either of them says so.
void done_records::note_done(catalog::job &job, std::uint32_t index, time_point now) {
    auto part = static_cast<std::uint32_t>(index / constants::tasks_per_done_part);
    auto &name = job.done_record_of_part[part];
    if (name.empty() || records_[name].fill_state == record_state::too_large)
        name = assign_record(job, part);
    auto &changed = records_[name];
    if (!changed.dirty_since)
        changed.dirty_since = now;
}

std::string done_records::assign_record(const catalog::job &job, std::uint32_t part) {
    auto tasks = end_of_part(job, part) - first_task_of(part);
    auto bytes = wire::done_part_bytes(job.spec.id, tasks);
    auto name = open_record_for(bytes);
    auto &open = records_[name];
    open.bytes += bytes;
    open.parts.insert({job.spec.id, part});
    return name;
}

// Returns the record for a new part of this size (bytes).
std::string done_records::open_record_for(std::size_t bytes) {
    auto open = records_.find(open_record_);
    if (open != records_.end() && open->second.bytes + bytes <= max_record_bytes(settings_))
        return open_record_;
    if (open != records_.end())
        open->second.fill_state = record_state::closed;
    open_record_ = names_.next(state_.term());
    records_.emplace(open_record_, record{});
    return open_record_;
}

// --- writing ---

void done_records::take_writes(std::vector<durable_write> &out, time_point now,
                               std::size_t &max_writes) {
    for (const auto &due : writable_records(now)) {
        if (max_writes == 0)
            return;
        auto &written = records_[due.name];
        written.dirty_since.reset();
        auto write = make_write(due.name, written);
        if (!write)
            continue;
        written.write_pending = true;
        out.push_back(std::move(*write));
        --max_writes;
    }
}

// Returns the records that may be written now, the one that has been dirty for longest first.
std::vector<done_records::dirty_record> done_records::writable_records(time_point now) const {
    std::vector<dirty_record> due;
    for (const auto &[name, kept] : records_)
        if (kept.dirty_since && !kept.write_pending &&
            now - *kept.dirty_since >= constants::done_record_delay)
            due.push_back({*kept.dirty_since, name});
    std::sort(due.begin(), due.end());
    return due;
}

std::optional<durable_write> done_records::make_write(const std::string &name, record &written) {
    erase_ended_parts(written);
    durable_write write;
    write.kind = write_kind::done_tasks;
    write.record_name = name;
    std::vector<wire::done_part> parts;
    for (const auto &kept : written.parts) {
        const auto *job = state_.find_job(kept.job);
        wire::done_part part{kept.job, kept.number, {}};
        for (auto index = first_task_of(kept.number); index < end_of_part(*job, kept.number);
             ++index) {
            part.bits.push_back(job->done[index]);
            if (job->done[index] && !job->done_durable[index])
                write.done_tasks.push_back({kept.job, static_cast<std::uint32_t>(index)});
        }
        parts.push_back(std::move(part));
    }
    if (write.done_tasks.empty())
        return std::nullopt;
    write.ops.push_back({store::keys::done_tasks(name), wire::encode_done_parts(parts), 0});
    return write;
}

// Erases the parts of ended jobs, whose ended records replace them.
void done_records::erase_ended_parts(record &from) {
    std::erase_if(from.parts, [this](const job_part &part) {
        const auto *job = state_.find_job(part.job);
        return !job || job->is_closed();
    });
}

// --- results of writes ---

void done_records::on_written(const durable_write &write, bool ok, time_point now) {
    if (auto found = records_.find(write.record_name); found != records_.end()) {
        found->second.write_pending = false;
        if (!ok) // retry after key_value_retry_delay
            found->second.dirty_since =
                now + constants::key_value_retry_delay - constants::done_record_delay;
    }
    if (!ok)
        return;
    for (const auto &task : write.done_tasks)
        confirm(task);
}

void done_records::confirm(const catalog::task_ref &task) {
    auto *job = state_.find_job(task.job);
    if (!job)
        return;
    if (!job->done_durable[task.index]) {
        job->done_durable[task.index] = true;
        ++job->durable_done_count;
    }
    if (const auto *attempt = state_.find_attempt(task);
        attempt && attempt->phase == attempt_phase::exited)
        state_.release_attempt(*job, task.index, false);
}

// --- obsolete records ---

std::vector<std::string> done_records::take_obsolete_keys() {
    std::vector<std::string> keys;
    for (auto next = records_.begin(); next != records_.end();) {
        auto &[name, swept] = *next;
        std::erase_if(swept.parts,
                      [this](const job_part &part) { return !state_.find_job(part.job); });
        if (swept.write_pending || swept.fill_state == record_state::open || !swept.parts.empty()) {
            ++next;
            continue;
        }
        keys.push_back(store::keys::done_tasks(name));
        next = records_.erase(next);
    }
    return keys;
}

} // namespace spindlecroft::records
