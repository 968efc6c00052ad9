// A job waits while a machine has room for it and its team is far below its limit, because queued
// tasks of a more urgent job of the team that may not run there count toward the limit.
#include "verdict.hpp"
#include <fmt/format.h>

using namespace review;

namespace {

constexpr double longest_wait_s = 90;

struct usage {
    double free_cores = 0, free_memory_gb = 0; // of the machine with most room in cordoba
    double team_cores = 0;                     // of all tasks of the team, images included
};

usage measure(world &around, const std::string &team) {
    usage now;
    for (auto &[name, host] : around.workers) {
        if (host->dead || !host->up)
            continue;
        double cores = host->type.cores, memory_gb = host->type.memory_gb;
        for (auto &[key, each] : host->tasks) {
            if (!each.uses())
                continue;
            cores -= each.of->cores;
            memory_gb -= each.of->memory_gb;
            if (each.of->crew == team)
                now.team_cores += each.of->cores;
        }
        if (host->zone == "cordoba" && cores > now.free_cores) {
            now.free_cores = cores;
            now.free_memory_gb = memory_gb;
        }
    }
    return now;
}

std::string observe(world &around) {
    start_all(around);
    around.machines_api.add(around.conf.types[0], "palermo", false, 0.1);
    around.machines_api.add(around.conf.types[0], "palermo", false, 0.1);
    around.machines_api.add(around.conf.types[0], "cordoba", false, 0.1);
    wait_until_serving(around);
    // Another team's service keeps the machine in cordoba in use.
    auto &service = around.make_job("job-000001",
                                    {{"crew", "plataforma-2"},
                                     {"shape", "standing"},
                                     {"rank", "critical"},
                                     {"lot", "script-serve"},
                                     {"croft", "cordoba"},
                                     {"cores", 2.0},
                                     {"memGb", 3.0},
                                     {"loaners", false},
                                     {"reckonS", 0.0}},
                                    0);
    around.spawn(around.follow(&service));
    around.run(2);
    if (with_trouble()) {
        // More work than room, urgent and bound to one zone.
        auto &urgent = around.make_job("job-000002",
                                       {{"croft", "palermo"}, {"threads", 600}, {"cores", 4.0}}, 4);
        around.spawn(around.follow(&urgent));
    }
    around.run(3);
    auto &waiting =
        around.make_job("job-000003", {{"lot", "compliance-scan"}, {"rank", "standard"}}, 5);
    around.spawn(around.follow(&waiting));
    around.until([&] { return waiting.accepted_at.has_value(); }, 10);
    if (!waiting.accepted_at)
        throw std::runtime_error("the job was not accepted");
    double most_team_cores = 0, least_room = 1e9, room_since = around.now();
    auto started = [&] {
        for (auto &[name, host] : around.workers)
            for (auto &[key, each] : host->tasks)
                if (each.of == &waiting)
                    return true;
        return !waiting.done.empty();
    };
    double next_line = 0;
    while (!started() && around.now() < room_since + longest_wait_s + 1 && around.now() < 112) {
        around.run(0.1);
        auto now = measure(around, waiting.crew);
        bool has_room = now.free_cores >= waiting.cores && now.free_memory_gb >= waiting.memory_gb;
        if (!has_room)
            room_since = around.now();
        most_team_cores = std::max(most_team_cores, now.team_cores);
        least_room = std::min(least_room, now.free_cores);
        if (around.now() > next_line) {
            next_line = around.now() + 5;
            around.record(fmt::format("cordoba has {} cores free; the team's tasks use {}",
                                      now.free_cores, now.team_cores));
        }
    }
    double waited = around.now() - room_since;
    auto figures = fmt::format("the job waited {:.1f} s with room for it; the team's tasks used {} "
                               "cores at most, its limit is {}",
                               waited, most_team_cores, around.conf.teams[0].cores_max);
    around.record(figures);
    bool below = most_team_cores + waiting.cores <= around.conf.teams[0].cores_max;
    for (auto &[rule, what] : around.broken_rules)
        figures += "; " + rule + ": " + what;
    bool broken = !started() && waited > longest_wait_s && below;
    return broken || !around.broken_rules.empty() ? figures : std::string();
}

} // namespace

int main(int, char **arguments) {
    deployment settings;
    settings.types = {{"mate", 8, 16, 15}};
    settings.capacity = 2; // in each zone, ordinary and spot
    return judge(settings, arguments[1], observe);
}
