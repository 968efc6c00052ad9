#include "records/placement_records.hpp"
#include "constants.hpp"
#include "records/record_sizes.hpp"
#include "store/keys.hpp"
#include <algorithm>
#include <utility>

namespace spindlecroft::records {

using catalog::attempt_phase;

namespace {

constexpr int conditions_per_op = 4; // that the store allows in a transaction
constexpr int other_conditions = 2;  // the fence's and the record's own
constexpr std::size_t empty_record_bytes = 2;

} // namespace

// --- taking over ---

void placement_records::load(const std::string &name, const std::vector<wire::placed_task> &tasks,
                             time_point now) {
    auto &loaded = records_[name];
    loaded.open = false;
    for (const auto &task : tasks)
        load_task(loaded, task, now);
}

void placement_records::load_task(record &into, const wire::placed_task &task, time_point now) {
    auto *job = state_.find_job(task.job);
    if (!job || task.index >= job->spec.tasks || job->done[task.index])
        return;
    // An older record may still name an attempt that was proven gone before a newer one was made:
    // attempt numbers only grow.
    if (auto known = job->live.find(task.index); known != job->live.end()) {
        if (known->second.number >= task.attempt)
            return;
        state_.release_attempt(*job, task.index, false);
    }
    into.tasks.push_back(task);
    // Guards against a second start: the task may be there, or a start may be under way, until the
    // machine's own heartbeat under our token says otherwise.
    catalog::attempt attempt;
    attempt.task = {task.job, task.index};
    attempt.number = task.attempt;
    attempt.machine = task.machine;
    attempt.phase = attempt_phase::sent;
    attempt.inherited = true;
    attempt.created_at = now;
    attempt.estimate = state_.estimates().expected_run_time(job->spec);
    attempt.stop_wanted = job->cancelled;
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
        if (extended.writing)
            return; // the next write takes all that gathers meanwhile
        // Guards against placements that take every change the key-value store allows, one for
        // each few tasks, while the records of ended jobs wait and users hear of them too late.
        if (paced && now < next_array_write_)
            return;
        auto filled = begin_draft(from.open_record, extended);
        fill(filled, extended, from, now);
        bool full = filled.full;
        if (!filled.write.attempts.empty()) {
            filled.write.ops.push_back({store::keys::placements(from.open_record),
                                        wire::encode_placements(extended.tasks), 0});
            if (paced && !full)
                next_array_write_ = now + write_gap();
            extended.writing = true;
            out.push_back(std::move(filled.write));
        }
        if (!full)
            return;
        extended.open = false;
        from.open_record.clear();
    }
}

placement_records::record &placement_records::open_record(queue &from) {
    if (from.open_record.empty())
        from.open_record = names_.next(state_.term());
    return records_[from.open_record];
}

placement_records::draft placement_records::begin_draft(const std::string &name, record &extended) {
    drop_ended_tasks(extended);
    draft begun;
    begun.write.kind = write_kind::placed;
    begun.write.record = name;
    begun.bytes = empty_record_bytes;
    for (const auto &task : extended.tasks)
        begun.bytes += wire::placement_bytes(task);
    return begun;
}

// Takes as many of the waiting attempts as fit; those that must wait keep their order.
void placement_records::fill(draft &filled, record &extended, queue &from, time_point now) {
    auto &waiting = from.waiting;
    std::deque<catalog::task_ref> postponed;
    while (!waiting.empty()) {
        auto task = waiting.front();
        auto judged = judge(filled, task, now);
        if (judged == verdict::full) {
            filled.full = true;
            break;
        }
        waiting.pop_front();
        if (judged == verdict::postpone)
            postponed.push_back(task);
        else if (judged == verdict::take)
            cover(filled, extended, task);
    }
    waiting.insert(waiting.begin(), postponed.begin(), postponed.end());
}

placement_records::verdict placement_records::judge(const draft &filled,
                                                    const catalog::task_ref &task, time_point now) {
    auto *job = state_.find_job(task.job);
    const auto *attempt = state_.find_attempt(task);
    if (!job || job->over() || !attempt || attempt->phase != attempt_phase::committing)
        return verdict::drop;
    if (!job->ready) { // never queued, so never here; checked again before it is durable
        state_.release_attempt(*job, task.index, true);
        return verdict::drop;
    }
    if (now < job->write_after)
        return verdict::postpone;
    // Guards against writes that cover a few tasks each while queues of many jobs drain: a write
    // takes every task of as many jobs as it may name.
    if (!filled.jobs.contains(task.job) && filled.jobs.size() >= most_jobs())
        return verdict::postpone;
    if (filled.bytes + wire::placement_bytes(placement_of(task)) > most_bytes())
        return verdict::full;
    return verdict::take;
}

wire::placed_task placement_records::placement_of(const catalog::task_ref &task) const {
    const auto *attempt = state_.find_attempt(task);
    return {task.job, task.index, attempt->number, attempt->machine};
}

void placement_records::cover(draft &filled, record &extended, const catalog::task_ref &task) {
    auto placement = placement_of(task);
    filled.bytes += wire::placement_bytes(placement);
    // A cancel changes the job's record, so it wins over a placement made meanwhile.
    if (filled.jobs.insert(task.job).second)
        filled.write.when.push_back(
            {store::keys::active_job(task.job), state_.find_job(task.job)->version});
    filled.write.attempts.push_back({task, placement.attempt});
    extended.tasks.push_back(std::move(placement));
}

void placement_records::drop_ended_tasks(record &from) {
    std::erase_if(from.tasks, [this](const wire::placed_task &task) {
        return !state_.find_attempt({task.job, task.index}, task.attempt);
    });
}

placement_records::queue &placement_records::queue_of(task_group group) {
    return group == task_group::services ? services_ : arrays_;
}

std::size_t placement_records::most_jobs() const {
    return static_cast<std::size_t>(
        std::max(1, conditions_per_op * settings_.txn_ops - other_conditions));
}

std::size_t placement_records::most_bytes() const {
    return std::min(most_record_bytes(settings_), constants::max_txn_bytes);
}

seconds placement_records::write_gap() const {
    return seconds{1} / (constants::placement_write_share * constants::leader_write_share *
                         constants::key_value_rate_share * settings_.key_value_write_rps);
}

// --- written ---

void placement_records::on_written(const durable_write &write, bool ok, time_point now) {
    if (auto written = records_.find(write.record); written != records_.end())
        written->second.writing = false;
    for (const auto &placed : write.attempts)
        confirm(placed, ok, now);
}

void placement_records::confirm(const placed_attempt &placed, bool ok, time_point now) {
    auto *job = state_.find_job(placed.task.job);
    if (!job)
        return;
    if (!ok)
        job->write_after =
            now + constants::key_value_retry_delay; // by then the watch tells what changed
    auto *attempt = state_.find_attempt(placed.task, placed.number);
    if (!attempt || attempt->phase != attempt_phase::committing)
        return;
    const auto *machine = state_.find_machine(attempt->machine);
    if (!ok || job->over() || !machine || !machine->is_usable()) {
        state_.release_attempt(*job, placed.task.index, true);
        return;
    }
    attempt->phase = attempt_phase::committed;
    state_.mark_for_direct_command(attempt->machine);
}

// --- ended ---

std::vector<std::string> placement_records::take_ended() {
    std::vector<std::string> keys;
    for (auto next = records_.begin(); next != records_.end();) {
        auto &[name, swept] = *next;
        if (!swept.writing && !swept.open)
            drop_ended_tasks(swept);
        if (swept.writing || swept.open || !swept.tasks.empty()) {
            ++next;
            continue;
        }
        keys.push_back(store::keys::placements(name));
        next = records_.erase(next);
    }
    return keys;
}

} // namespace spindlecroft::records
