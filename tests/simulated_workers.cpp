// The worker agents of the randomized simulation: execution of commands, heartbeats and leases.
#include "randomized_simulation.hpp"
#include <algorithm>

namespace spindlecroft::test {

bool simulation::fails_everywhere(const std::string &job) {
    return std::stoi(job.substr(job.find('-') + 1)) % 8 == 0;
}

void simulation::execute(worker &agent, const std::vector<command> &commands) {
    for (auto &cmd : commands)
        switch (cmd.kind) {
        case command_kind::remove:
            execute_remove(agent, cmd);
            break;
        case command_kind::stop:
            execute_stop(agent, cmd);
            break;
        case command_kind::start:
            execute_start(agent, cmd);
            break;
        }
}

void simulation::execute_remove(worker &agent, const command &cmd) {
    agent.superseded.erase(cmd.attempt);
    auto task = agent.tasks.find({cmd.job, cmd.index});
    if (task != agent.tasks.end() && task->second.attempt == cmd.attempt &&
        task->second.state == task_state::exited)
        agent.tasks.erase(task);
}

void simulation::execute_stop(worker &agent, const command &cmd) {
    auto task = agent.tasks.find({cmd.job, cmd.index});
    if (task == agent.tasks.end() || task->second.attempt != cmd.attempt ||
        task->second.state == task_state::exited)
        return;
    task->second.state = task_state::exited;
    task->second.cause = exit_cause::stopped;
}

void simulation::execute_start(worker &agent, const command &cmd) {
    if (agent.superseded.count(cmd.attempt))
        return;
    const task_key key{cmd.job, cmd.index};
    auto previous = agent.tasks.find(key);
    if (previous != agent.tasks.end() &&
        (previous->second.attempt == cmd.attempt || previous->second.state != task_state::exited))
        return; // a repeated command, or an earlier attempt still runs
    double cpus = 0;
    const double size = agent.type == "small" ? 4 : 16;
    for (auto &[other, task] : agent.tasks)
        if (task.state != task_state::exited)
            cpus += submitted.at(other.first).cpus;
    if (previous != agent.tasks.end())
        agent.superseded[previous->second.attempt] = key;
    auto &spec = submitted.at(cmd.job);
    worker_task task;
    task.attempt = cmd.attempt;
    if (cpus + spec.cpus > size + 1e-9) {
        task.state = task_state::exited;
        task.cause = exit_cause::insufficient_resources;
    } else {
        check_start(agent, cmd.job, cmd.index, cmd.attempt);
        task.state = task_state::running;
        task.until =
            now + (spec.shape == job_shape::service ? seconds{1e9} : random_duration(3, 25));
        if ((agent.faulty && !is_fault_free) || fails_everywhere(cmd.job)) {
            task.until = now + seconds{0.5};
            task.cause = exit_cause::error;
        }
    }
    agent.tasks[key] = task;
}

heartbeat simulation::make_heartbeat(worker &agent) {
    heartbeat message;
    message.machine = agent.name;
    message.address = "10.0.0.1:1";
    message.type = agent.type;
    message.zone = agent.zone;
    message.spot = agent.spot;
    message.incarnation = agent.incarnation;
    message.sequence = ++agent.sequence;
    message.token = agent.token;
    for (auto &[key, task] : agent.tasks)
        message.tasks.push_back(
            {key.first, key.second, task.attempt, task.state, task.cause, false});
    for (auto &[attempt, key] : agent.superseded)
        message.tasks.push_back(
            {key.first, key.second, attempt, task_state::exited, exit_cause::stopped, false});
    return message;
}

void simulation::advance_worker(worker &agent) {
    if (!agent.alive || now < agent.up_at || now < agent.hang_until)
        return;
    if (now - agent.lease_from > conf.lease_duration) {
        agent.tasks.clear();
        agent.superseded.clear();
        ++agent.incarnation;
        agent.lease_from = now;
        agent.awaiting_answer = false;
    }
    for (auto &[key, task] : agent.tasks)
        if (task.state == task_state::running && now >= task.until) {
            task.state = task_state::exited;
            if (task.cause == exit_cause::none) {
                task.cause = exit_cause::done;
                completed[key] = true;
                // The user may cancel just when the task ends, before or after the heartbeat that
                // reports the end.
                if (chance(0.05)) {
                    ++cancels_at_task_end;
                    schedule(now + random_duration(0, 2), [this, job = key.first] { cancel(job); });
                }
            }
            agent.next_heartbeat = std::min(agent.next_heartbeat, now);
        }
    if (!agent.awaiting_answer && now >= agent.next_heartbeat)
        send_heartbeat(agent);
}

void simulation::send_heartbeat(worker &agent) {
    agent.awaiting_answer = true;
    auto name = agent.name;
    auto message = make_heartbeat(agent);
    auto sent = now;
    auto incarnation = agent.incarnation;
    schedule(now + 4s, [this, name, incarnation, sent] {
        finish_heartbeat(name, incarnation, sent, {}, 0, false);
    });
    // A duplicate of the heartbeat arrives up to three lease durations later, perhaps at another
    // leader; the answer to it is lost.
    if (chance(0.04))
        schedule(now + random_duration(2, 60), [this, name, message] {
            auto leader = scheduler;
            if (!leader)
                return;
            auto age = leader->on_heartbeat(message, now);
            if (age == control::scheduler::heartbeat_age::obsolete)
                return;
            ++duplicate_heartbeats;
            if (!may_renew())
                return;
            leader->commands_for_response(name, now);
            leader->on_response_sent(name, age, now);
        });
    if (chance(0.02) || now < agent.outbound_partition_until)
        return;
    auto arrives = now + random_delay();
    schedule(arrives, [this, name, incarnation, sent, message] {
        if (!scheduler || now > sent + 30s)
            return;
        auto leader = scheduler;
        auto age = leader->on_heartbeat(message, now);
        if (age == control::scheduler::heartbeat_age::obsolete)
            return;
        bool renew = may_renew();
        if (!renew && !leader->has_no_tasks(message))
            return;
        auto commands = leader->commands_for_response(name, now, renew);
        auto token = leader->token();
        leader->on_response_sent(name, age, now);
        if (chance(0.02) || now < workers.at(name).inbound_partition_until)
            return;
        auto back = now + random_delay();
        if (back < sent + 4s)
            schedule(back, [this, name, incarnation, sent, commands, token] {
                finish_heartbeat(name, incarnation, sent, commands, token, true);
            });
    });
}

void simulation::finish_heartbeat(const std::string &name, std::uint64_t incarnation,
                                  time_point sent, const std::vector<command> &commands,
                                  std::uint64_t token, bool answered) {
    auto found = workers.find(name);
    if (found == workers.end() || !found->second.alive)
        return;
    auto &agent = found->second;
    if (!agent.awaiting_answer || agent.incarnation != incarnation ||
        sent < agent.next_heartbeat - seconds{3.9})
        return;
    if (now < agent.hang_until)
        return;
    agent.awaiting_answer = false;
    agent.next_heartbeat = now + random_duration(2.2, 3.7);
    if (!answered || token < agent.token)
        return;
    agent.token = token;
    agent.lease_from = std::max(agent.lease_from, sent);
    execute(agent, commands);
    if (!commands.empty())
        agent.next_heartbeat = now + seconds{0.5};
}

} // namespace spindlecroft::test
