#include "records/job_ends.hpp"
#include "constants.hpp"
#include "store/keys.hpp"
#include "wire/codec.hpp"
#include <algorithm>

namespace spindlecroft::records {

namespace {

// Returns whether every task is done and every attempt has exited.
bool is_complete(const catalog::job &job) {
    if (job.cancelled || job.spec.shape != job_shape::array ||
        job.reported_done_count != job.spec.tasks)
        return false;
    return std::all_of(
        job.current_attempts.begin(), job.current_attempts.end(),
        [](const auto &live) { return live.second.phase == catalog::attempt_phase::exited; });
}

bool may_end(const catalog::job &job) {
    bool cleared = job.cancelled && job.current_attempts.empty();
    return cleared || is_complete(job);
}

} // namespace

void job_ends::take_writes(std::vector<durable_write> &out, time_point now) {
    for (auto &[id, job] : state_.jobs()) {
        if (job.end_write_pending || job.ended || now < job.next_write_at || !may_end(job))
            continue;
        job.end_write_pending = true;
        out.push_back(make_write(job, now));
    }
}

durable_write job_ends::make_write(const catalog::job &job, time_point now) const {
    durable_write write;
    write.kind = write_kind::job_end;
    write.job = job.spec.id;
    write.conditions.push_back({store::keys::active_job(write.job), job.record_revision});
    write.ops.push_back({store::keys::active_job(write.job), "", 0});
    wire::ended_record ended;
    ended.state = job.cancelled ? job_state::cancelled : job_state::done;
    ended.done = job.reported_done_count;
    ended.ended_at = state_.term().clock.to_wall(now); // its dependents may be ready from then on
    write.ops.push_back({store::keys::ended_job(write.job), wire::encode_ended_record(ended), 0});
    return write;
}

std::optional<catalog::wall_predecessor_end> job_ends::on_written(const durable_write &write,
                                                                  bool ok, time_point now) {
    auto *job = state_.find_job(write.job);
    if (!job)
        return std::nullopt;
    if (!ok) {
        // The record changed first, by a cancel; the watch will deliver it.
        job->end_write_pending = false;
        job->next_write_at = now + constants::key_value_retry_delay;
        return std::nullopt;
    }
    while (!job->current_attempts.empty())
        state_.release_attempt(*job, job->current_attempts.begin()->first, false);
    state_.remove_job(write.job);
    auto ended = wire::parse_ended_record(write.ops.back().value);
    return catalog::wall_predecessor_end{ended.state, ended.ended_at};
}

} // namespace spindlecroft::records
