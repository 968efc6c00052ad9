#include "records/job_loader.hpp"
#include <algorithm>
#include <utility>

namespace spindlecroft::records {

namespace {

bool done_or_live(const catalog::job &job, std::uint32_t index) {
    return job.done[index] || job.current_attempts.contains(index);
}

// Queues for another placement all tasks that are neither done nor on a machine, up to the last one
// that was ever placed.
void restore_waiting_tasks_of(catalog::job &job) {
    std::uint32_t first_fresh = 0;
    for (std::uint32_t index = 0; index < job.spec.tasks; ++index)
        if (done_or_live(job, index))
            first_fresh = index + 1;
    job.next_unplaced = first_fresh;
    for (std::uint32_t index = 0; index < first_fresh; ++index)
        if (!done_or_live(job, index))
            job.requeued.insert(index);
}

} // namespace

void job_loader::load(const std::string &id, const wire::job_record &record, std::uint64_t version,
                      time_point now) {
    catalog::job loaded;
    loaded.spec = record.spec;
    loaded.record_revision = version;
    loaded.accepted_at = std::min(now, state_.term().clock.to_steady(record.accepted_at));
    loaded.done.assign(record.spec.tasks, false);
    loaded.done_durable.assign(record.spec.tasks, false);
    loaded.own_priority = record.spec.priority;
    auto &kept = state_.add_job(id, std::move(loaded));
    if (kept.spec.shape == job_shape::array || !record.cancelled)
        state_.note_accepted_job(kept.spec, now);
    dependencies_.add(kept, now);
    if (record.cancelled && !kept.cancelled)
        dependencies_.cancel(kept, record.cancelled_at, now);
}

void job_loader::on_record(const std::string &id, const wire::job_record &record,
                           std::uint64_t version, time_point now) {
    state_.request_planning();
    auto *job = state_.find_job(id);
    if (!job) {
        load(id, record, version, now);
        return;
    }
    if (version < job->record_revision)
        return;
    job->record_revision = version;
    if (record.cancelled && !job->cancelled)
        dependencies_.cancel(*job, record.cancelled_at, now);
}

void job_loader::on_cancel(const cancel_notice &notice, time_point now) {
    state_.request_planning();
    auto *job = state_.find_job(notice.job);
    if (!job || notice.revision < job->record_revision)
        return;
    job->record_revision = notice.revision;
    if (!job->cancelled)
        dependencies_.cancel(*job, notice.cancelled_at, now);
}

void job_loader::restore_waiting_tasks() {
    for (auto &[id, job] : state_.jobs())
        restore_waiting_tasks_of(job);
}

} // namespace spindlecroft::records
