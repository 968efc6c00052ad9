// Commands in answers to heartbeats and direct commands.
#include "reconciliation/command_composer.hpp"
#include "constants.hpp"
#include <algorithm>
#include <spdlog/spdlog.h>
#include <utility>

namespace spindlecroft::reconciliation {

using catalog::attempt_phase;

namespace {

command command_for(const catalog::attempt &attempt, command_kind kind, seconds grace) {
    return {kind, attempt.task.job, attempt.task.index, attempt.number, grace};
}

// Time between two raises of the token that only let records of exited tasks be removed.
seconds removal_interval(std::size_t machine_count) {
    seconds unbounded{static_cast<double>(machine_count) / constants::max_raise_heartbeat_rate};
    return std::clamp(unbounded, constants::min_token_raise_interval,
                      constants::max_record_removal_interval);
}

const char *name_of(command_kind kind) {
    switch (kind) {
    case command_kind::start:
        return "start";
    case command_kind::stop:
        return "stop";
    case command_kind::remove:
        return "remove";
    }
    return "unknown command";
}

} // namespace

struct command_composer::composition {
    workers::machine &machine;
    channel through;
    start_permission permission;
    bidding::resources free;
    std::vector<command> commands;
    std::vector<command> starts; ///< Sent after all other commands.
};

std::vector<command> command_composer::for_answer(const std::string &machine_name,
                                                  start_permission permission, time_point now) {
    auto *machine = state_.find_machine(machine_name);
    if (!machine)
        return {};
    return compose(*machine, channel::answer, permission, now);
}

std::vector<command> command_composer::for_direct_command(const std::string &machine_name,
                                                          start_permission permission,
                                                          time_point now) {
    auto *machine = state_.find_machine(machine_name);
    if (!machine || !machine->is_up || machine->open_direct_commands > 0)
        return {};
    auto commands = compose(*machine, channel::direct, permission, now);
    bool has_starts = false;
    for (const auto &composed : commands) {
        if (composed.kind != command_kind::start)
            continue;
        has_starts = true;
        machine->directly_started.insert(composed.attempt);
        auto *attempt = state_.find_attempt({composed.job, composed.index}, composed.attempt);
        if (attempt && attempt->sent_incarnation == 0) {
            // The start is attributed to this heartbeat until the command is resolved.
            attempt->sent_incarnation = machine->incarnation;
            attempt->sent_sequence = machine->sequence;
        }
    }
    if (has_starts)
        ++machine->open_direct_commands;
    return commands;
}

bool command_composer::are_starts_current(const std::vector<command> &commands) const {
    return std::all_of(commands.begin(), commands.end(), [&](const command &composed) {
        if (composed.kind != command_kind::start)
            return true;
        const auto *job = state_.find_job(composed.job);
        if (!job || job->is_closed())
            return false;
        const auto *attempt = state_.find_attempt({composed.job, composed.index}, composed.attempt);
        return attempt && !attempt->stop_requested;
    });
}

void command_composer::mark_resolved(const std::string &machine_name) {
    auto *machine = state_.find_machine(machine_name);
    if (machine && machine->open_direct_commands > 0)
        --machine->open_direct_commands;
}

void command_composer::mark_unresolved(const std::string &machine_name, std::uint64_t token,
                                       std::uint64_t incarnation) {
    auto *machine = state_.find_machine(machine_name);
    if (!machine)
        return;
    if (machine->open_direct_commands > 0)
        --machine->open_direct_commands;
    machine->unresolved_token = std::max(machine->unresolved_token, token);
    machine->unresolved_incarnation = std::max(machine->unresolved_incarnation, incarnation);
}

bool command_composer::take_token_raise_request(time_point now) {
    if (!elapsed(last_token_raise_, constants::min_token_raise_interval, now))
        return false;
    const auto &machines = state_.machines();
    bool is_removal_due = elapsed(last_token_raise_, removal_interval(machines.size()), now);
    std::size_t tolerated = is_removal_due ? 0 : constants::max_records_awaiting_removal;
    bool is_wanted = std::any_of(machines.begin(), machines.end(), [&](const auto &entry) {
        const auto &machine = entry.second;
        return needs_token_raise(machine) || machine.records_awaiting_higher_token() > tolerated;
    });
    if (is_wanted)
        last_token_raise_ = now;
    return is_wanted;
}

bool command_composer::needs_token_raise(const workers::machine &machine) const {
    return machine.open_direct_commands == 0 && machine.has_unacknowledged_direct_command() &&
           machine.unresolved_token >= state_.term().token;
}

std::vector<command> command_composer::compose(workers::machine &machine, channel through,
                                               start_permission permission, time_point now) {
    composition composed{machine, through, permission, resources_after_stops(machine), {}, {}};
    add_cleanup(composed, now);
    state_.for_each_attempt(machine, [&](const catalog::job &job, catalog::attempt &attempt) {
        add_for_attempt(composed, job, attempt);
    });
    if (through == channel::answer && !composed.starts.empty()) {
        machine.answer_incarnation = machine.incarnation;
        machine.answer_sequence = machine.sequence;
        machine.answer_expires_at =
            now + constants::worker_answer_timeout * (1 + constants::max_clock_drift) +
            constants::lease_slack;
    }
    auto &commands = composed.commands;
    commands.insert(commands.end(), composed.starts.begin(), composed.starts.end());
    log_commands(composed);
    return std::move(commands);
}

void command_composer::log_commands(const composition &composed) const {
    if (!spdlog::should_log(spdlog::level::debug))
        return;
    const auto *channel_name = composed.through == channel::answer ? "answer" : "direct command";
    for (const auto &each : composed.commands)
        spdlog::debug("machine {}: {} {}/{} attempt {} in {} under token {}, incarnation {}",
                      composed.machine.name, name_of(each.kind), each.job, each.index, each.attempt,
                      channel_name, state_.term().token, composed.machine.incarnation);
}

void command_composer::add_cleanup(composition &composed, time_point now) const {
    const auto &machine = composed.machine;
    if (composed.through != channel::answer && machine.has_unacknowledged_command(now))
        return;
    for (const auto &cleanup : machine.cleanup_commands)
        if (cleanup.kind != command_kind::remove || machine.may_remove_record(cleanup.attempt, now))
            composed.commands.push_back(cleanup);
}

void command_composer::add_for_attempt(composition &composed, const catalog::job &job,
                                       catalog::attempt &attempt) const {
    auto add_stop = [&](seconds grace) {
        composed.commands.push_back(command_for(attempt, command_kind::stop, grace));
    };
    switch (attempt.phase) {
    case attempt_phase::committing:
    case attempt_phase::exited:
        break;
    case attempt_phase::committed:
        if (!attempt.stop_requested)
            add_start(composed, job, attempt);
        break;
    case attempt_phase::sent:
        if (attempt.stop_requested)
            add_stop(seconds{});
        else
            add_start(composed, job, attempt);
        break;
    case attempt_phase::fetching:
    case attempt_phase::running:
        if (attempt.stop_requested)
            add_stop(attempt.stop_grace);
        break;
    case attempt_phase::checkpointing:
        if (attempt.stop_requested && attempt.stop_grace <= seconds{})
            add_stop(seconds{});
        break;
    }
}

void command_composer::add_start(composition &composed, const catalog::job &job,
                                 catalog::attempt &attempt) const {
    const auto &machine = composed.machine;
    if (attempt.inherited || !machine.is_usable() || job.is_closed() ||
        composed.permission == start_permission::withheld)
        return;
    if (attempt.phase == attempt_phase::committed) {
        if (!composed.free.fits(job.spec))
            return; // placed before the resources that are being freed for it are available
        composed.free.allocate(job.spec);
    }
    attempt.phase = attempt_phase::sent;
    if (composed.through == channel::answer) {
        attempt.sent_incarnation = machine.incarnation;
        attempt.sent_sequence = machine.sequence;
    }
    composed.starts.push_back(command_for(attempt, command_kind::start, seconds{}));
}

bidding::resources command_composer::resources_after_stops(workers::machine &machine) const {
    bidding::resources free{machine.type.cpus, machine.type.gpus, machine.type.memory_gb};
    state_.for_each_attempt(machine, [&](const catalog::job &job, const catalog::attempt &attempt) {
        bool stops_now = attempt.stop_requested && attempt.stop_grace <= seconds{};
        if (attempt.possibly_running() && !stops_now)
            free.allocate(job.spec);
    });
    return free;
}

} // namespace spindlecroft::reconciliation
