// After an array of tasks of uneven length a healthy machine is taken for slow and gets no work any
// more.
#include "verdict.hpp"
#include <fmt/format.h>

using namespace review;

namespace {

constexpr double longest_wait_s = 90;
constexpr double most_run_s = 1.5; // of 88 of 100 tasks
constexpr double long_times = 5;   // as long run the other 12

std::string observe(world &around) {
    start_all(around);
    auto &machine = around.machines_api.add(around.conf.types[0], "palermo", false, 0.1);
    wait_until_serving(around);
    auto &service = around.make_job("job-000001",
                                    {{"crew", "plataforma-2"},
                                     {"shape", "standing"},
                                     {"rank", "critical"},
                                     {"lot", "script-serve"},
                                     {"cores", 2.0},
                                     {"memGb", 3.0},
                                     {"loaners", false},
                                     {"reckonS", 0.0}},
                                    0);
    around.spawn(around.follow(&service));
    around.run(2);
    if (with_trouble()) {
        auto &array = around.make_job("job-000002",
                                      {{"crew", "plataforma-2"},
                                       {"threads", 100},
                                       {"cores", 0.25},
                                       {"memGb", 0.5},
                                       {"loaners", false}},
                                      most_run_s);
        array.long_from = 88;
        array.long_times = long_times;
        around.spawn(around.follow(&array));
        around.until([&] { return array.complete_at.has_value(); }, 14);
        around.record(fmt::format("{} of {} tasks are done", array.done.size(), array.threads));
    }
    auto &waiting = around.make_job("job-000003", {{"loaners", false}}, 5);
    around.spawn(around.follow(&waiting));
    around.until([&] { return waiting.accepted_at.has_value(); }, 10);
    if (!waiting.accepted_at)
        throw std::runtime_error("the job was not accepted");
    auto began = around.now();
    auto room_since = began;
    double least_room = 1e9;
    bool started = false;
    while (!started && around.now() < room_since + longest_wait_s + 1 && around.now() < 113) {
        around.run(0.1);
        double cores = machine.type.cores, memory_gb = machine.type.memory_gb;
        for (auto &[key, each] : machine.tasks) {
            started = started || each.of == &waiting;
            if (each.uses()) {
                cores -= each.of->cores;
                memory_gb -= each.of->memory_gb;
            }
        }
        if (!started && (machine.dead || cores < waiting.cores || memory_gb < waiting.memory_gb))
            room_since = around.now();
        least_room = std::min(least_room, cores);
    }
    for (auto &[name, host] : around.workers)
        for (auto &[key, each] : host->tasks)
            started = started || each.of == &waiting;
    double waited = around.now() - room_since;
    auto figures = fmt::format(
        "the job {} after {:.1f} s; the machine had room for it for the last "
        "{:.1f} s, {} cores free at least",
        started ? "started" : "had not started", around.now() - began, waited, least_room);
    around.record(figures);
    for (auto &[rule, what] : around.broken_rules)
        figures += "; " + rule + ": " + what;
    bool broken = !started && waited > longest_wait_s;
    return broken || !around.broken_rules.empty() ? figures : std::string();
}

} // namespace

int main(int, char **arguments) {
    deployment settings;
    settings.zones = {"palermo"};
    settings.types = {{"quebracho", 32, 128, 25}};
    settings.capacity = 1; // further requests are refused: no capacity
    return judge(settings, arguments[1], observe);
}
