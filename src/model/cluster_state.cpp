#include "model/cluster_state.hpp"
#include "constants.hpp"
#include "workers/attempt_liveness.hpp"
#include <algorithm>
#include <spdlog/spdlog.h>

namespace spindlecroft::model {

using catalog::attempt_phase;

namespace {

// An attempt number is the fencing token of its leader and a counter in the lower bits, so that no
// two leaders use the same one.
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
    term_.token = std::max(term_.token, token);
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
    auto *owner = find_job(task.job);
    if (!owner)
        return nullptr;
    auto found = owner->current_attempts.find(task.index);
    return found == owner->current_attempts.end() ? nullptr : &found->second;
}

const cluster_state::attempt *cluster_state::find_attempt(const catalog::task_ref &task) const {
    const auto *owner = find_job(task.job);
    if (!owner)
        return nullptr;
    auto found = owner->current_attempts.find(task.index);
    return found == owner->current_attempts.end() ? nullptr : &found->second;
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

seconds cluster_state::expected_run_time(const job &owner) const {
    seconds prior = estimates_.expected_run_time(owner.spec);
    return (prior + owner.run_time_sum) / (1 + owner.run_time_count);
}

std::uint32_t cluster_state::image_number(const std::string &image) {
    auto next = static_cast<std::uint32_t>(image_numbers_.size());
    return image_numbers_.emplace(image, next).first->second;
}

// --- machines ---

cluster_state::machine &cluster_state::find_or_add_machine(const std::string &name,
                                                           time_point now) {
    auto [found, fresh] = machines_.try_emplace(name);
    auto &made = found->second;
    if (!fresh)
        return made;
    made.name = name;
    made.rented_at = made.known_at = now;
    made.idle_since = now;
    // Whoever answered it before us, did so before our authority began.
    made.latest_lease_end = std::max(term_.began_at, now) +
                            settings_.lease_duration * (1 + constants::max_clock_drift) +
                            constants::lease_slack;
    request_planning();
    return made;
}

std::size_t cluster_state::machine_class_index(const std::string &type, const std::string &zone,
                                               bool spot) {
    auto found = std::find_if(
        machine_classes_.begin(), machine_classes_.end(), [&](const machine_class &known) {
            return known.type == type && known.zone == zone && known.spot == spot;
        });
    auto number = static_cast<std::size_t>(found - machine_classes_.begin());
    if (found == machine_classes_.end())
        machine_classes_.push_back({type, zone, spot});
    return number;
}

void cluster_state::update_description(machine &which, const std::string &type,
                                       const std::string &zone, bool spot,
                                       const std::string &address) {
    if (!address.empty() && which.address != address)
        which.address = address;
    bool unchanged =
        which.is_type_known && which.type.name == type && which.zone == zone && which.spot == spot;
    if (unchanged)
        return; // as in nearly every heartbeat
    if (const auto *known = find_type(type)) {
        which.type = *known;
        which.is_type_known = true;
    }
    which.zone = zone;
    which.spot = spot;
    which.machine_class = machine_class_index(type, zone, spot);
    which.mark_changed();
}

void cluster_state::request_deletion(machine &which, const char *reason) {
    if (which.is_deleting)
        return;
    spdlog::info("{} ({} {} {}): to be deleted, {}", which.name, which.type.name, which.zone,
                 which.spot ? "spot" : "ordinary", reason);
    which.is_deleting = true;
    withdraw_unsent_attempts(which);
}

void cluster_state::remove_machine(const std::string &name, time_point now) {
    auto *gone = find_machine(name);
    if (!gone)
        return;
    release_attempts(*gone);
    failures_.forget_machine(name);
    machines_.erase(name);
    removed_[name] = now;
    direct_command_targets_.erase(name);
    request_planning();
}

void cluster_state::forget_removed_machines(seconds after, time_point now) {
    std::erase_if(removed_, [&](const auto &removed) { return now - removed.second > after; });
}

void cluster_state::release_attempts(machine &host) {
    clear_queue(host);
    const workers::observation removed{workers::evidence::machine_removed};
    auto tasks = host.attempts;
    for (const auto &task : tasks) {
        auto *found = find_attempt(task);
        if (!found)
            continue;
        if (assess_attempt(*found, host, removed) == workers::attempt_liveness::gone)
            release_attempt(*find_job(task.job), task.index, true);
    }
}

// --- attempts ---

cluster_state::attempt &cluster_state::add_attempt(job &owner, attempt added) {
    auto index = added.task.index;
    if (auto *host = find_machine(added.machine)) {
        host->attempts.insert(added.task);
        host->mark_changed();
    }
    return owner.current_attempts[index] = std::move(added);
}

void cluster_state::release_attempt(job &owner, std::uint32_t index, bool to_waiting) {
    auto found = owner.current_attempts.find(index);
    if (found == owner.current_attempts.end())
        return;
    auto &released = found->second;
    if (to_waiting && !owner.is_closed())
        spdlog::debug("{}/{} is no longer on {}", owner.spec.id, index, released.machine);
    if (auto *host = find_machine(released.machine)) {
        host->attempts.erase(released.task);
        host->mark_changed();
    }
    owner.current_attempts.erase(found);
    if (to_waiting)
        owner.requeue_task(index);
    request_planning();
}

void cluster_state::request_stop(attempt &which, seconds grace) {
    if (which.stop_requested && grace >= which.stop_grace)
        return;
    which.stop_requested = true;
    which.stop_grace = grace;
    mark_for_direct_command(which.machine);
}

// Guards against tasks that wait for ever on a machine that gets no more work.
void cluster_state::withdraw_unsent_attempts(machine &from) {
    clear_queue(from);
    auto tasks = from.attempts;
    for (const auto &task : tasks) {
        auto *found = find_attempt(task);
        if (found && found->phase == attempt_phase::committed)
            release_attempt(*find_job(task.job), task.index, true);
    }
}

std::uint64_t cluster_state::next_attempt_number() {
    return (term_.token << attempt_counter_bits) + ++attempt_counter_;
}

// --- queues ---

void cluster_state::clear_queue(machine &host) {
    for (const auto &queued : host.queue) {
        auto *owner = find_job(queued.task.job);
        if (!owner)
            continue;
        owner->queued_on.erase(queued.task.index);
        owner->requeue_task(queued.task.index);
    }
    host.queue.clear();
    host.mark_changed();
    request_planning();
}

void cluster_state::remove_from_queue(job &owner, std::uint32_t index) {
    auto found = owner.queued_on.find(index);
    if (found == owner.queued_on.end())
        return;
    if (auto *host = find_machine(found->second)) {
        catalog::task_ref task{owner.spec.id, index};
        std::erase_if(host->queue, [&](const auto &queued) { return queued.task == task; });
        host->mark_changed();
    }
    owner.queued_on.erase(found);
}

// --- what is to be done next ---

std::vector<std::string> cluster_state::take_direct_command_targets() {
    std::vector<std::string> out;
    for (auto name = direct_command_targets_.begin(); name != direct_command_targets_.end();) {
        const auto *marked = find_machine(*name);
        bool reachable = marked && marked->is_up;
        if (reachable && marked->open_direct_commands > 0) {
            ++name; // after the command that is under way
            continue;
        }
        if (reachable)
            out.push_back(*name);
        name = direct_command_targets_.erase(name);
    }
    return out;
}

} // namespace spindlecroft::model
