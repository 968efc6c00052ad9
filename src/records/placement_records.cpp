#include "records/placement_records.hpp"
#include "constants.hpp"
#include "records/record_sizes.hpp"
#include "store/keys.hpp"
#include <algorithm>
#include <utility>

namespace spindlecroft::records {

using catalog::attempt_phase;

namespace {

constexpr int conditions_per_op =
    4; // conditions per operation that the store allows in a transaction
constexpr int other_conditions = 2; // those of the fence and of the record itself
constexpr std::size_t empty_record_bytes = 2;

} // namespace

// --- loading after a failover ---

void placement_records::load(const std::string &name, const std::vector<wire::placed_task> &tasks,
                             time_point now) {
    auto &loaded = records_[name];
    loaded.accepts_placements = false;
    for (const auto &task : tasks)
        load_placement(loaded, task, now);
}

void placement_records::load_placement(record &into, const wire::placed_task &task,
                                       time_point now) {
    auto *job = state_.find_job(task.job);
    if (!job || task.index >= job->spec.tasks || job->done[task.index])
        return;
    // An older record may still contain an attempt that was proven to have stopped before a newer
    // one was created. Attempt numbers increase, so the higher one counts.
    if (auto known = job->current_attempts.find(task.index); known != job->current_attempts.end()) {
        if (known->second.number >= task.attempt)
            return;
        state_.release_attempt(*job, task.index, false);
    }
    into.tasks.push_back(task);
    // Prevents a second start: the task may be on the machine, or a start command in transit, until
    // a heartbeat of the machine under the current fencing token rules it out.
    catalog::attempt attempt;
    attempt.task = {task.job, task.index};
    attempt.number = task.attempt;
    attempt.machine = task.machine;
    attempt.phase = attempt_phase::sent;
    attempt.inherited = true;
    attempt.created_at = now;
    attempt.expected_run_time = state_.estimates().expected_run_time(job->spec);
    attempt.stop_requested = job->cancelled;
    state_.find_or_add_machine(task.machine, now);
    state_.add_attempt(*job, std::move(attempt));
}

// --- writing ---

void placement_records::add(const catalog::task_ref &task, job_shape shape) {
    auto group = shape == job_shape::service ? task_group::services : task_group::arrays;
    queue_of(group).waiting.push_back(task);
}

void placement_records::take_writes(std::vector<durable_write> &out, time_point now) {
    take_writes_of(task_group::arrays, out, now);
    take_writes_of(task_group::services, out, now);
}

void placement_records::take_writes_of(task_group group, std::vector<durable_write> &out,
                                       time_point now) {
    auto &from = queue_of(group);
    bool paced = group == task_group::arrays;
    while (!from.waiting.empty()) {
        auto &extended = open_record(from);
        if (extended.write_pending)
            return; // the next write covers the attempts that are added meanwhile
        // Limits the rate of placement writes. Otherwise they would use up the write limit of the
        // key-value store with a few tasks each, the records of ended jobs would be delayed, and
        // users would learn too late that their jobs have ended.
        if (paced && now < next_array_write_)
            return;
        auto filled = begin_draft(from.open_record, extended);
        fill(filled, extended, from, now);
        bool full = filled.full;
        if (!filled.write.placed_attempts.empty()) {
            filled.write.ops.push_back({store::keys::placements(from.open_record),
                                        wire::encode_placements(extended.tasks), 0});
            if (paced && !full)
                next_array_write_ = now + write_interval();
            extended.write_pending = true;
            out.push_back(std::move(filled.write));
        }
        if (!full)
            return;
        extended.accepts_placements = false;
        from.open_record.clear();
    }
}

placement_records::record &placement_records::open_record(queue &from) {
    if (from.open_record.empty())
        from.open_record = names_.next(state_.term());
    return records_[from.open_record];
}

placement_records::draft placement_records::begin_draft(const std::string &name, record &extended) {
    erase_ended_tasks(extended);
    draft begun;
    begun.write.kind = write_kind::placements;
    begun.write.record_name = name;
    begun.bytes = empty_record_bytes;
    for (const auto &task : extended.tasks)
        begun.bytes += wire::placement_bytes(task);
    return begun;
}

// Adds as many of the waiting attempts as fit; postponed ones keep their order.
void placement_records::fill(draft &filled, record &extended, queue &from, time_point now) {
    auto &waiting = from.waiting;
    std::deque<catalog::task_ref> postponed;
    while (!waiting.empty()) {
        auto task = waiting.front();
        auto judged = decide(filled, task, now);
        if (judged == fill_decision::record_full) {
            filled.full = true;
            break;
        }
        waiting.pop_front();
        if (judged == fill_decision::postpone)
            postponed.push_back(task);
        else if (judged == fill_decision::include)
            include_placement(filled, extended, task);
    }
    waiting.insert(waiting.begin(), postponed.begin(), postponed.end());
}

placement_records::fill_decision
placement_records::decide(const draft &filled, const catalog::task_ref &task, time_point now) {
    auto *job = state_.find_job(task.job);
    const auto *attempt = state_.find_attempt(task);
    if (!job || job->is_closed() || !attempt || attempt->phase != attempt_phase::committing)
        return fill_decision::discard;
    if (!job->ready) { // not expected here: jobs that aren't ready are never queued
        state_.release_attempt(*job, task.index, true);
        return fill_decision::discard;
    }
    if (now < job->next_write_at)
        return fill_decision::postpone;
    // Limits the number of jobs per write, but not of their tasks: otherwise, while the queues of
    // many jobs drain, each write would cover only a few tasks.
    if (!filled.jobs.contains(task.job) && filled.jobs.size() >= max_jobs_per_write())
        return fill_decision::postpone;
    if (filled.bytes + wire::placement_bytes(placement_of(task)) > max_record_size())
        return fill_decision::record_full;
    return fill_decision::include;
}

wire::placed_task placement_records::placement_of(const catalog::task_ref &task) const {
    const auto *attempt = state_.find_attempt(task);
    return {task.job, task.index, attempt->number, attempt->machine};
}

void placement_records::include_placement(draft &filled, record &extended,
                                          const catalog::task_ref &task) {
    auto placement = placement_of(task);
    filled.bytes += wire::placement_bytes(placement);
    // A cancel changes the job's record and so makes a concurrent placement fail.
    if (filled.jobs.insert(task.job).second)
        filled.write.conditions.push_back(
            {store::keys::active_job(task.job), state_.find_job(task.job)->record_revision});
    filled.write.placed_attempts.push_back({task, placement.attempt});
    extended.tasks.push_back(std::move(placement));
}

void placement_records::erase_ended_tasks(record &from) {
    std::erase_if(from.tasks, [this](const wire::placed_task &task) {
        return !state_.find_attempt({task.job, task.index}, task.attempt);
    });
}

placement_records::queue &placement_records::queue_of(task_group group) {
    return group == task_group::services ? services_ : arrays_;
}

std::size_t placement_records::max_jobs_per_write() const {
    return static_cast<std::size_t>(
        std::max(1, conditions_per_op * settings_.txn_ops - other_conditions));
}

std::size_t placement_records::max_record_size() const {
    return std::min(max_record_bytes(settings_), constants::max_txn_bytes);
}

seconds placement_records::write_interval() const {
    return seconds{1} / (constants::placement_write_share * constants::leader_write_share *
                         constants::key_value_rate_share * settings_.key_value_write_rps);
}

// --- results of writes ---

void placement_records::on_written(const durable_write &write, bool ok, time_point now) {
    if (auto written = records_.find(write.record_name); written != records_.end())
        written->second.write_pending = false;
    for (const auto &placed : write.placed_attempts)
        confirm(placed, ok, now);
}

void placement_records::confirm(const placed_attempt &placed, bool ok, time_point now) {
    auto *job = state_.find_job(placed.task.job);
    if (!job)
        return;
    if (!ok)
        job->next_write_at =
            now +
            constants::key_value_retry_delay; // the watch will have delivered the change by then
    auto *attempt = state_.find_attempt(placed.task, placed.number);
    if (!attempt || attempt->phase != attempt_phase::committing)
        return;
    const auto *machine = state_.find_machine(attempt->machine);
    if (!ok || job->is_closed() || !machine || !machine->is_usable()) {
        state_.release_attempt(*job, placed.task.index, true);
        return;
    }
    attempt->phase = attempt_phase::committed;
    state_.mark_for_direct_command(attempt->machine);
}

// --- obsolete records ---

std::vector<std::string> placement_records::take_obsolete_keys() {
    std::vector<std::string> keys;
    for (auto next = records_.begin(); next != records_.end();) {
        auto &[name, swept] = *next;
        if (!swept.write_pending && !swept.accepts_placements)
            erase_ended_tasks(swept);
        if (swept.write_pending || swept.accepts_placements || !swept.tasks.empty()) {
            ++next;
            continue;
        }
        keys.push_back(store::keys::placements(name));
        next = records_.erase(next);
    }
    return keys;
}

} // namespace spindlecroft::records
