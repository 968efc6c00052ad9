#include "trace_runner.hpp"
#include "builders.hpp"
#include "control/scheduler.hpp"
#include "store/keys.hpp"
#include <deque>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <sstream>
#include <stdexcept>

namespace spindlecroft::test {

namespace {

using fields = std::map<std::string, std::vector<std::string>>;

std::string show(std::uint64_t attempt) {
    return fmt::format("{}.{}", attempt >> 20, attempt & 0xfffff);
}

std::uint64_t attempt_of(const std::string &text) {
    const auto dot = text.find('.');
    return (std::stoull(text.substr(0, dot)) << 20) + std::stoull(text.substr(dot + 1));
}

struct runner {
    std::unique_ptr<control::scheduler> core;
    std::deque<control::durable_write> writes;
    std::map<std::string, wire::job_record> records;
    std::map<std::string, std::uint64_t> versions;
    std::uint64_t revision = 100;
    std::ostringstream out;

    void say(const std::string &line) { out << "> " << line << "\n"; }

    static std::string get(const fields &f, const char *key, const std::string &fallback) {
        auto i = f.find(key);
        return i == f.end() ? fallback : i->second.back();
    }
    static seconds length(const fields &f, const char *key, const std::string &fallback) {
        return seconds{std::stod(get(f, key, fallback))};
    }

    void commands(const std::vector<command> &list) {
        for (auto &o : list) {
            auto what = o.kind == command_kind::start  ? "start"
                        : o.kind == command_kind::stop ? "stop"
                                                       : "forget";
            say(fmt::format("order {} {}/{} attempt {}", what, o.job, o.index, show(o.attempt)));
        }
    }

    void decisions(time_point now) {
        core->tick(now);
        for (auto &w : core->take_writes(now)) {
            std::string line = "write";
            for (auto &o : w.ops) {
                line += fmt::format(" {}{}", o.value.empty() ? "drop " : "", o.key);
                if (w.kind == control::write_kind::placements)
                    for (auto &t : wire::parse_placements(o.value))
                        line += fmt::format(" [{}/{} on {} attempt {}]", t.job, t.index, t.machine,
                                            show(t.attempt));
                else if (w.kind == control::write_kind::done_tasks ||
                         w.kind == control::write_kind::suspects)
                    line += " " + o.value;
                else if (w.kind == control::write_kind::job_end && !o.value.empty())
                    line +=
                        std::string(" ") +
                        std::string(wire::job_state_name(wire::parse_ended_record(o.value).state));
            }
            for (auto &c : w.conditions)
                line += fmt::format(" if {} is {}", c.key, c.revision);
            say(line);
            writes.push_back(w);
        }
        for (auto &r : core->take_rental_requests(now))
            say(fmt::format("rent {} {} in {} {} as {}", r.count, r.type, r.zone,
                            r.spot ? "spot" : "ordinary", r.id));
        for (auto &n : core->take_deletions(now))
            say("delete " + n);
        for (auto &name : core->take_urgent_machines())
            say("urgent " + name);
        if (core->needs_token_raise(now))
            say("raise the token");
    }

    heartbeat report(const std::string &machine, const fields &f) {
        heartbeat r;
        r.machine = machine;
        r.address = "10.0.0.1:9000";
        r.type = get(f, "type", "small");
        r.zone = get(f, "zone", "a");
        r.spot = get(f, "spot", "no") == "yes";
        r.incarnation = std::stoull(get(f, "session", "1"));
        r.sequence = std::stoull(get(f, "seq", "1"));
        r.token = std::stoull(get(f, "token", "0"));
        if (f.count("notice"))
            r.reclaim_notice = length(f, "notice", "0");
        if (auto i = f.find("task"); i != f.end())
            for (auto &t : i->second) {
                std::istringstream in(t);
                std::string task, attempt, state;
                std::getline(in, task, ':');
                std::getline(in, attempt, ':');
                std::getline(in, state, ':');
                task_status x;
                auto slash = task.find('/');
                x.job = task.substr(0, slash);
                x.index = static_cast<std::uint32_t>(std::stoul(task.substr(slash + 1)));
                x.attempt = attempt_of(attempt);
                static const std::map<std::string, std::pair<task_state, exit_cause>> words = {
                    {"fetching", {task_state::fetching, exit_cause::none}},
                    {"running", {task_state::running, exit_cause::none}},
                    {"saving", {task_state::checkpointing, exit_cause::none}},
                    {"done", {task_state::exited, exit_cause::done}},
                    {"stopped", {task_state::exited, exit_cause::stopped}},
                    {"error", {task_state::exited, exit_cause::error}},
                    {"no_room", {task_state::exited, exit_cause::insufficient_resources}},
                    {"busy", {task_state::exited, exit_cause::busy}},
                    {"unknown", {task_state::exited, exit_cause::unknown_image}}};
                std::tie(x.state, x.cause) = words.at(state);
                r.tasks.push_back(x);
            }
        return r;
    }

    // One line of a trace: when, what, and its operands.
    struct instruction {
        time_point now{};
        std::vector<std::string> names;
        fields f;
        std::uint64_t token() const { return std::stoull(get(f, "token", "0")); }
    };

    void become_leader(const instruction &given) {
        const auto now = given.now;
        const auto &f = given.f;
        // A new leader: all it has is what was written.
        core = std::make_unique<control::scheduler>(small_settings(), small_types());
        core->begin(now, given.token(), wall_clock{});
        for (auto &[id, r] : records)
            core->load_job(id, r, versions[id], now);
        for (auto &[key, value] : store)
            if (key.rfind("p/", 0) == 0 && get(f, "placements", "") == "unreadable")
                core->load_unreadable_placements(now);
            else
                load(key, value, now);
        ends_known = get(f, "ends", "known") == "known";
        tell_ends(now);
        core->finish_loading(now);
        writes.clear();
    }

    void submit(const instruction &given) {
        const auto now = given.now;
        const auto &names = given.names;
        const auto &f = given.f;
        wire::job_record r;
        r.accepted_at = wall_clock{}.to_wall(now);
        r.spec = small_job(names.at(0));
        r.spec.tasks = static_cast<std::uint32_t>(std::stoul(get(f, "tasks", "1")));
        r.spec.cpus = std::stod(get(f, "cpus", "4"));
        r.spec.team = get(f, "team", "blue");
        r.spec.estimate = length(f, "estimate", "30");
        r.spec.spread_across_zones = get(f, "spread", "no") == "yes";
        r.spec.may_use_spot = get(f, "spot", "yes") == "yes";
        r.spec.same_zone = get(f, "one_zone", "no") == "yes";
        if (f.count("zone"))
            r.spec.zone = get(f, "zone", "");
        r.spec.image = get(f, "image", "img");
        static const std::map<std::string, priority_class> ranks = {
            {"critical", priority_class::critical},
            {"high", priority_class::high},
            {"normal", priority_class::normal},
            {"low", priority_class::low}};
        r.spec.priority = ranks.at(get(f, "rank", "normal"));
        r.spec.checkpoint_interval = length(f, "checkpoint", "0");
        r.spec.checkpoint_duration = length(f, "save", "0");
        if (get(f, "shape", "array") == "service") {
            r.spec.shape = job_shape::service;
            r.spec.priority = priority_class::critical;
            r.spec.may_use_spot = false;
            r.spec.estimate = seconds{};
        }
        if (f.count("needs"))
            r.spec.predecessors = f.at("needs");
        if (f.count("deadline"))
            r.spec.deadline = length(f, "deadline", "0");
        records[names.at(0)] = r;
        versions[names.at(0)] = ++revision;
        core->on_job_record(names.at(0), r, revision, now);
    }

    void cancel_in_record(const instruction &given) {
        const auto &names = given.names;
        records.at(names.at(0)).cancelled = true;
        versions[names.at(0)] = ++revision;
        if (get(given.f, "told", "yes") == "yes")
            core->on_job_record(names.at(0), records[names.at(0)], revision, given.now);
    }

    void take_heartbeat(const instruction &given) {
        const auto now = given.now;
        const auto &names = given.names;
        auto age = core->on_heartbeat(report(names.at(0), given.f), now);
        if (age == control::scheduler::heartbeat_age::obsolete) {
            say("refused: out of date");
        } else {
            commands(core->commands_for_response(names.at(0), now));
            core->on_response_sent(names.at(0), age, now);
        }
    }

    void cancel_by_name(const instruction &given) {
        const auto &names = given.names;
        // Another controller's word, before the job's record tells of it.
        records.at(names.at(0)).cancelled = true;
        versions[names.at(0)] = ++revision;
        core->on_cancel({names.at(0), revision, std::nullopt}, given.now);
    }

    void send_command(const instruction &given) {
        commands(core->direct_commands_for(given.names.at(0), given.now));
    }

    void command_answered(const instruction &given) {
        const auto &names = given.names;
        core->command_resolved(names.at(0));
        core->on_heartbeat(report(names.at(0), given.f), given.now, true);
    }

    void command_lost(const instruction &given) {
        core->command_unresolved(given.names.at(0), core->token(),
                                 std::stoull(get(given.f, "session", "1")));
    }

    void raise_token(const instruction &given) { core->set_token(given.token()); }

    void finish_writes(const instruction &given) {
        auto list = std::move(writes);
        writes.clear();
        for (auto &w : list) {
            // What the key-value store does: all conditions must hold.
            bool ok = true;
            for (auto &c : w.conditions)
                if (auto j = versions.find(c.key.substr(4));
                    j == versions.end() ? c.revision != 0 : j->second != c.revision)
                    ok = false;
            if (ok) {
                ++revision;
                for (auto &o : w.ops) {
                    if (o.key.rfind("j/a/", 0) == 0) {
                        records.erase(o.key.substr(4));
                        versions.erase(o.key.substr(4));
                    } else if (o.value.empty()) {
                        store.erase(o.key);
                    } else {
                        store[o.key] = o.value;
                    }
                }
            } else {
                say("refused: " + w.ops.front().key);
            }
            core->on_write_completed(w, ok, given.now);
        }
    }

    void read_ends(const instruction &) { ends_known = true; }

    void rent_unsure(const instruction &given) {
        core->on_rent_outcome_unknown(given.names.at(0), given.now);
    }

    void rent_refused(const instruction &given) {
        core->on_rent_refused(given.names.at(0), given.now);
    }

    void finish_rental(const instruction &given) {
        const auto &names = given.names;
        core->on_rented(names.at(0), {names.begin() + 1, names.end()}, given.now);
    }

    void finish_deletion(const instruction &given) { core->on_deleted(given.names, given.now); }

    void list_machines(const instruction &given) {
        const auto now = given.now;
        const auto &names = given.names;
        const auto &f = given.f;
        std::vector<listed_machine> hosts;
        hosts.reserve(names.size());
        for (auto &n : names)
            hosts.push_back({n, "10.0.0.1:9000", get(f, "type", "small"), get(f, "zone", "a"),
                             false, machine_state::running, 10s});
        core->on_machine_list(hosts, now, now);
    }

    void tick(const instruction &) {}

    using handler = void (runner::*)(const instruction &);
    static handler handler_of(const std::string &verb) {
        static const std::map<std::string, handler> handlers = {
            {"lead", &runner::become_leader},
            {"job", &runner::submit},
            {"cancel", &runner::cancel_in_record},
            {"report", &runner::take_heartbeat},
            {"cancel-by-name", &runner::cancel_by_name},
            {"command", &runner::send_command},
            {"command-answered", &runner::command_answered},
            {"command-lost", &runner::command_lost},
            {"token", &runner::raise_token},
            {"written", &runner::finish_writes},
            {"ends-read", &runner::read_ends},
            {"rent-unsure", &runner::rent_unsure},
            {"rent-refused", &runner::rent_refused},
            {"rented", &runner::finish_rental},
            {"deleted", &runner::finish_deletion},
            {"hosts", &runner::list_machines},
            {"tick", &runner::tick}};
        auto found = handlers.find(verb);
        if (found == handlers.end())
            throw std::runtime_error("unknown verb " + verb);
        return found->second;
    }

    void run(const std::string &line) {
        std::istringstream in(line);
        double second = 0;
        std::string verb, word;
        in >> second >> verb;
        instruction given;
        given.now = at(second);
        while (in >> word) {
            auto separator = word.find('=');
            if (separator == std::string::npos)
                given.names.push_back(word);
            else
                given.f[word.substr(0, separator)].push_back(word.substr(separator + 1));
        }
        (this->*handler_of(verb))(given);
        tell_ends(given.now);
        decisions(given.now);
    }

    std::map<std::string, std::string> store;
    // Whether the ended records of predecessors can be read.
    bool ends_known = true;
    void tell_ends(time_point now) {
        for (auto &id : core->unresolved_predecessors())
            if (auto i = store.find("j/e/" + id); ends_known && i != store.end()) {
                auto end = wire::parse_ended_record(i->second);
                core->on_predecessor_end(id, {end.state, end.ended_at}, now);
            }
    }
    void load(const std::string &key, const std::string &value, time_point now) {
        if (key.rfind("d/", 0) == 0)
            core->load_done(key.substr(2), wire::parse_done_parts(value));
        else if (key.rfind("p/", 0) == 0)
            core->load_placements(key.substr(2), wire::parse_placements(value), now);
        else if (key.rfind("m/", 0) == 0)
            core->load_rental(key.substr(2), wire::parse_rental_record(value), now);
        else if (key == store::keys::suspect_jobs)
            core->load_suspects(wire::parse_suspects(value), now);
    }
};

} // namespace

std::string replay(const std::string &trace) {
    runner r;
    std::istringstream in(trace);
    std::string line;
    while (std::getline(in, line)) {
        if (line.rfind("> ", 0) == 0)
            continue;
        r.out << line << "\n";
        if (line.empty() || line[0] == '#')
            continue;
        r.run(line);
    }
    return r.out.str();
}

} // namespace spindlecroft::test
