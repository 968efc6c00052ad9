// Changes of the cluster state that keep jobs and machines consistent.
#include "model/cluster_state.hpp"
#include "constants.hpp"
#include "workers/attempt_liveness.hpp"
#include <algorithm>
#include <spdlog/spdlog.h>

namespace spindlecroft::model {

using catalog::attempt_phase;

namespace {

// An attempt number consists of the leader's fencing token and, in the lower bits, a counter, so
// that two leaders never use the same number.
constexpr unsigned attempt_counter_bits = 20;

template <class Map>
auto find_in(Map &map, const std::string &key) -> decltype(&map.begin()->second) {
    auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

} // namespace

cluster_state::cluster_state(const settings::settings &settings, std::vector<machine_type> types)
    : settings_(settings), types_(std::move(types)) {}

void cluster_state::raise_token(std::uint64_t token) {
    if (token <= term_.token)
        return;
    term_.token = token;
    // Every later message carries the new token, and an agent that has seen it refuses the direct
    // commands of before.
    for (auto &[name, machine] : machines_)
        machine.directly_started.clear();
}

// --- look-ups ---

cluster_state::job *cluster_state::find_job(const std::string &id) {
    return find_in(jobs_, id);
}

const cluster_state::job *cluster_state::find_job(const std::string &id) const {
    return find_in(jobs_, id);
}

cluster_state::machine *cluster_state::find_machine(const std::string &name) {
    return find_in(machines_, name);
}

const cluster_state::machine *cluster_state::find_machine(const std::string &name) const {
    return find_in(machines_, name);
}

cluster_state::attempt *cluster_state::find_attempt(const catalog::task_ref &task) {
    auto *job = find_job(task.job);
    if (!job)
        return nullptr;
    auto found = job->current_attempts.find(task.index);
    return found == job->current_attempts.end() ? nullptr : &found->second;
}

const cluster_state::attempt *cluster_state::find_attempt(const catalog::task_ref &task) const {
    const auto *job = find_job(task.job);
    if (!job)
        return nullptr;
    auto found = job->current_attempts.find(task.index);
    return found == job->current_attempts.end() ? nullptr : &found->second;
}

cluster_state::attempt *cluster_state::find_attempt(const catalog::task_ref &task,
                                                    std::uint64_t number) {
    auto *found = find_attempt(task);
    return found && found->number == number ? found : nullptr;
}

const machine_type *cluster_state::find_type(const std::string &name) const {
    auto found = std::find_if(types_.begin(), types_.end(),
                              [&](const machine_type &type) { return type.name == name; });
    return found == types_.end() ? nullptr : &*found;
}

// --- jobs ---

cluster_state::job &cluster_state::add_job(const std::string &id, job added) {
    added.image_number = image_number(added.spec.image);
    return jobs_[id] = std::move(added);
}

void cluster_state::note_accepted_job(const job_spec &spec, time_point now) {
    if (spec.shape == job_shape::array)
        latest_array_ = spec;
    else
        recent_services_[spec.job_class] = {spec, now};
}

seconds cluster_state::expected_run_time(const catalog::job &job) const {
    seconds prior = estimates_.expected_run_time(job.spec);
    return (prior + job.run_time_sum) / (1 + job.run_time_count);
}

std::uint32_t cluster_state::image_number(const std::string &image) {
    auto next = static_cast<std::uint32_t>(image_numbers_.size());
    return image_numbers_.emplace(image, next).first->second;
}

// --- machines ---

cluster_state::machine &cluster_state::find_or_add_machine(const std::string &name,
                                                           time_point now) {
    auto [found, is_new] = machines_.try_emplace(name);
    auto &machine = found->second;
    if (!is_new)
        return machine;
    machine.name = name;
    machine.rented_at = machine.known_at = now;
    machine.idle_since = now;
    // An earlier leader can have answered it only before this term began.
    machine.latest_lease_end = std::max(term_.began_at, now) +
                               settings_.lease_duration * (1 + constants::max_clock_drift) +
                               constants::lease_slack;
    request_planning();
    return machine;
}

std::size_t cluster_state::machine_class_index(const std::string &type, const std::string &zone,
                                               bool spot) {
    auto found = std::find_if(
        machine_classes_.begin(), machine_classes_.end(), [&](const machine_class &known) {
            return known.type == type && known.zone == zone && known.spot == spot;
        });
    auto index = static_cast<std::size_t>(found - machine_classes_.begin());
    if (found == machine_classes_.end())
        machine_classes_.push_back({type, zone, spot});
    return index;
}

void cluster_state::update_description(machine &described, const std::string &type,
                                       const std::string &zone, bool spot,
                                       const std::string &address) {
    if (!address.empty() && described.address != address)
        described.address = address;
    bool is_unchanged = described.is_type_known && described.type.name == type &&
                        described.zone == zone && described.spot == spot;
    if (is_unchanged)
        return; // the usual case: most heartbeats change nothing
    if (const auto *known = find_type(type)) {
        described.type = *known;
        described.is_type_known = true;
    }
    described.zone = zone;
    described.spot = spot;
    described.machine_class = machine_class_index(type, zone, spot);
    described.mark_changed();
}

void cluster_state::request_deletion(machine &unwanted, const char *reason) {
    if (unwanted.is_deleting)
        return;
    spdlog::info("machine {} ({} {} {}) will be deleted: {}", unwanted.name, unwanted.type.name,
                 unwanted.zone, unwanted.spot ? "spot" : "on-demand", reason);
    unwanted.is_deleting = true;
    withdraw_unsent_attempts(unwanted);
}

void cluster_state::remove_machine(const std::string &name, time_point now) {
    auto *removed = find_machine(name);
    if (!removed)
        return;
    release_attempts(*removed);
    failures_.forget_machine(name);
    machines_.erase(name);
    removed_[name] = now;
    direct_command_targets_.erase(name);
    request_planning();
}

void cluster_state::forget_removed_machines(seconds age, time_point now) {
    std::erase_if(removed_, [&](const auto &removed) { return now - removed.second > age; });
}

void cluster_state::release_attempts(machine &host) {
    clear_queue(host);
    const workers::observation removed{workers::evidence::machine_removed};
    auto tasks = host.attempts;
    for (const auto &task : tasks) {
        auto *attempt = find_attempt(task);
        if (!attempt)
            continue;
        if (assess_attempt(*attempt, host, removed) == workers::attempt_liveness::gone)
            release_attempt(*find_job(task.job), task.index, true);
    }
}

// --- attempts ---

cluster_state::attempt &cluster_state::add_attempt(catalog::job &job, attempt added) {
    auto index = added.task.index;
    if (auto *host = find_machine(added.machine)) {
        host->attempts.insert(added.task);
        host->mark_changed();
    }
    return job.current_attempts[index] = std::move(added);
}

void cluster_state::release_attempt(catalog::job &job, std::uint32_t index, bool requeue) {
    auto found = job.current_attempts.find(index);
    if (found == job.current_attempts.end())
        return;
    auto &released = found->second;
    if (requeue && !job.is_closed())
        spdlog::debug("task {}/{}: attempt on machine {} released, task requeued", job.spec.id,
                      index, released.machine);
    if (auto *host = find_machine(released.machine)) {
        host->attempts.erase(released.task);
        host->mark_changed();
    }
    job.current_attempts.erase(found);
    if (requeue)
        job.requeue_task(index);
    request_planning();
}

void cluster_state::request_stop(attempt &stopped, seconds grace) {
    if (stopped.stop_requested && grace >= stopped.stop_grace)
        return;
    stopped.stop_requested = true;
    stopped.stop_grace = grace;
    mark_for_direct_command(stopped.machine);
}

// Otherwise these tasks would wait indefinitely on a machine that gets no more work.
void cluster_state::withdraw_unsent_attempts(machine &host) {
    clear_queue(host);
    auto tasks = host.attempts;
    for (const auto &task : tasks) {
        auto *attempt = find_attempt(task);
        if (attempt && attempt->phase == attempt_phase::committed)
            release_attempt(*find_job(task.job), task.index, true);
    }
}

std::uint64_t cluster_state::next_attempt_number() {
    return (term_.token << attempt_counter_bits) + ++attempt_counter_;
}

// --- queues ---

void cluster_state::clear_queue(machine &host) {
    for (const auto &queued : host.queue) {
        auto *job = find_job(queued.task.job);
        if (!job)
            continue;
        job->queued_on.erase(queued.task.index);
        job->requeue_task(queued.task.index);
    }
    host.queue.clear();
    host.mark_changed();
    request_planning();
}

void cluster_state::remove_from_queue(catalog::job &job, std::uint32_t index) {
    auto found = job.queued_on.find(index);
    if (found == job.queued_on.end())
        return;
    if (auto *host = find_machine(found->second)) {
        catalog::task_ref task{job.spec.id, index};
        std::erase_if(host->queue, [&](const auto &queued) { return queued.task == task; });
        host->mark_changed();
    }
    job.queued_on.erase(found);
}

// --- pending actions ---

std::vector<std::string> cluster_state::take_direct_command_targets() {
    std::vector<std::string> targets;
    for (auto name = direct_command_targets_.begin(); name != direct_command_targets_.end();) {
        const auto *marked = find_machine(*name);
        bool is_reachable = marked && marked->is_up;
        if (is_reachable && marked->open_direct_commands > 0) {
            ++name; // stays marked until the command in flight is resolved
            continue;
        }
        if (is_reachable)
            targets.push_back(*name);
        name = direct_command_targets_.erase(name);
    }
    return targets;
}

} // namespace spindlecroft::model
