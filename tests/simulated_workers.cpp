// The workers of the randomized simulation.
#include "randomized_simulation.hpp"
#include <algorithm>

namespace spindlecroft::test {

bool simulation::fails_everywhere(const std::string &job) {
    return std::stoi(job.substr(job.find('-') + 1)) % 8 == 0;
}

void simulation::execute(worker &w, const std::vector<command> &commands) {
    for (auto &order : commands)
        switch (order.kind) {
        case command_kind::remove:
            execute_remove(w, order);
            break;
        case command_kind::stop:
            execute_stop(w, order);
            break;
        case command_kind::start:
            execute_start(w, order);
            break;
        }
}

void simulation::execute_remove(worker &w, const command &order) {
    w.older.erase(order.attempt);
    auto task = w.tasks.find({order.job, order.index});
    if (task != w.tasks.end() && task->second.attempt == order.attempt &&
        task->second.state == task_state::exited)
        w.tasks.erase(task);
}

void simulation::execute_stop(worker &w, const command &order) {
    auto task = w.tasks.find({order.job, order.index});
    if (task == w.tasks.end() || task->second.attempt != order.attempt ||
        task->second.state == task_state::exited)
        return;
    task->second.state = task_state::exited;
    task->second.cause = exit_cause::stopped;
}

void simulation::execute_start(worker &w, const command &order) {
    if (w.older.count(order.attempt))
        return;
    const task_key key{order.job, order.index};
    auto former = w.tasks.find(key);
    if (former != w.tasks.end() &&
        (former->second.attempt == order.attempt || former->second.state != task_state::exited))
        return; // known already, or busy
    double cpus = 0;
    const double size = w.type == "small" ? 4 : 16;
    for (auto &[other, task] : w.tasks)
        if (task.state != task_state::exited)
            cpus += submitted.at(other.first).cpus;
    if (former != w.tasks.end())
        w.older[former->second.attempt] = key;
    auto &spec = submitted.at(order.job);
    worker_task task;
    task.attempt = order.attempt;
    if (cpus + spec.cpus > size + 1e-9) {
        task.state = task_state::exited;
        task.cause = exit_cause::insufficient_resources;
    } else {
        check_start(w, order.job, order.index, order.attempt);
        task.state = task_state::running;
        task.until = now + (spec.shape == job_shape::service ? seconds{1e9} : between(3, 25));
        if ((w.faulty && !calm) || fails_everywhere(order.job)) {
            task.until = now + seconds{0.5};
            task.cause = exit_cause::error;
        }
    }
    w.tasks[key] = task;
}

heartbeat simulation::make_heartbeat(worker &w) {
    heartbeat r;
    r.machine = w.name;
    r.address = "10.0.0.1:1";
    r.type = w.type;
    r.zone = w.zone;
    r.spot = w.spot;
    r.incarnation = w.incarnation;
    r.sequence = ++w.sequence;
    r.token = w.token;
    for (auto &[k, t] : w.tasks)
        r.tasks.push_back({k.first, k.second, t.attempt, t.state, t.cause, false});
    for (auto &[attempt, k] : w.older)
        r.tasks.push_back(
            {k.first, k.second, attempt, task_state::exited, exit_cause::stopped, false});
    return r;
}

void simulation::advance_worker(worker &w) {
    if (!w.alive || now < w.up_at || now < w.hang_until)
        return;
    if (now - w.lease_from > conf.lease_duration) {
        w.tasks.clear();
        w.older.clear();
        ++w.incarnation;
        w.lease_from = now;
        w.awaiting_answer = false;
    }
    for (auto &[k, t] : w.tasks)
        if (t.state == task_state::running && now >= t.until) {
            t.state = task_state::exited;
            if (t.cause == exit_cause::none) {
                t.cause = exit_cause::done;
                completed[k] = true;
                // A cancellation meets the end, as its user sees fit: before or after the
                // heartbeat.
                if (chance(0.05)) {
                    ++at_end;
                    at(now + between(0, 2), [this, job = k.first] { cancel(job); });
                }
            }
            w.next_heartbeat = std::min(w.next_heartbeat, now);
        }
    if (!w.awaiting_answer && now >= w.next_heartbeat)
        send_heartbeat(w);
}

void simulation::send_heartbeat(worker &w) {
    w.awaiting_answer = true;
    auto name = w.name;
    auto r = make_heartbeat(w);
    auto sent = now;
    auto incarnation = w.incarnation;
    at(now + 4s, [this, name, incarnation, sent] {
        finish_heartbeat(name, incarnation, sent, {}, 0, false);
    });
    // A copy of the heartbeat comes once more, up to three leases later and perhaps to another
    // leader; the answer to it reaches nobody.
    if (chance(0.04))
        at(now + between(2, 60), [this, name, r] {
            auto leader = scheduler;
            if (!leader)
                return;
            auto age = leader->on_heartbeat(r, now);
            if (age == control::scheduler::heartbeat_age::obsolete)
                return;
            ++copies;
            if (!may_renew())
                return;
            leader->commands_for_response(name, now);
            leader->on_response_sent(name, age, now);
        });
    if (chance(0.02) || now < w.outbound_partition_until)
        return;
    auto arrives = now + delay();
    at(arrives, [this, name, incarnation, sent, r] {
        if (!scheduler || now > sent + 30s)
            return;
        auto leader = scheduler;
        auto age = leader->on_heartbeat(r, now);
        if (age == control::scheduler::heartbeat_age::obsolete)
            return;
        bool renew = may_renew();
        if (!renew && !leader->has_no_tasks(r))
            return;
        auto commands = leader->commands_for_response(name, now, renew);
        auto token = leader->token();
        leader->on_response_sent(name, age, now);
        if (chance(0.02) || now < workers.at(name).inbound_partition_until)
            return;
        auto back = now + delay();
        if (back < sent + 4s)
            at(back, [this, name, incarnation, sent, commands, token] {
                finish_heartbeat(name, incarnation, sent, commands, token, true);
            });
    });
}

void simulation::finish_heartbeat(const std::string &name, std::uint64_t incarnation,
                                  time_point sent, const std::vector<command> &commands,
                                  std::uint64_t token, bool answered) {
    auto i = workers.find(name);
    if (i == workers.end() || !i->second.alive)
        return;
    auto &w = i->second;
    if (!w.awaiting_answer || w.incarnation != incarnation ||
        sent < w.next_heartbeat - seconds{3.9})
        return;
    if (now < w.hang_until)
        return;
    w.awaiting_answer = false;
    w.next_heartbeat = now + between(2.2, 3.7);
    if (!answered || token < w.token)
        return;
    w.token = token;
    w.lease_from = std::max(w.lease_from, sent);
    execute(w, commands);
    if (!commands.empty())
        w.next_heartbeat = now + seconds{0.5};
}

} // namespace spindlecroft::test
