// One machine fails the tasks that it starts, for a few seconds. Afterwards it has room, and the
// service whose only replica failed there must not be left waiting.
#include "stand_ins/worker.hpp"
#include "stand_ins/world.hpp"
#include <fmt/format.h>

using namespace review;

namespace {

constexpr const char *first = "job-000001";  // fills the small machines
constexpr const char *second = "job-000002"; // starts on the machine that fails it
constexpr const char *third = "job-000003";  // shows afterwards that the machine works
constexpr int replicas = 6;                  // two on each of the three small machines
constexpr const char *sick = "i-000004";
constexpr seconds limit{90};

job_form service(const char *uid, const char *crew, int threads) {
    auto form = submission(uid, crew, "standing", threads, 4, 5.8);
    form["lot"] = "script-serve";
    return {form, seconds{0}};
}

awaitable<void> start(world &w, const char *uid) {
    auto status = co_await w.submit(uid);
    if (status != 201 && status != 200)
        throw std::runtime_error("a service was not accepted");
}

awaitable<void> script(world &w) {
    for (int index = 0; index < 3; ++index)
        w.rented->add_running("mate", index % 2 ? "cordoba" : "palermo");
    w.rented->add_running("quebracho", "cordoba");
    w.start_all();
    co_await w.until_ready();
    co_await w.until_all_report();
    w.jobs[first] = service(first, "plataforma-1", replicas);
    w.jobs[first].fields["frames"] = json::array{"mate"};
    w.jobs[second] = service(second, "plataforma-2", 1);
    w.jobs[third] = service(third, "plataforma-3", 1);
    co_await start(w, first);
    auto up = [&] {
        int count = 0;
        for (const auto &[name, kept] : w.workers)
            if (name != sick)
                for (const auto &[id, task] : kept->tasks)
                    count += task.stage == "running";
        return count;
    };
    if (!co_await w.until([&] { return up() == replicas; }, seconds{15}))
        throw std::runtime_error("the first service did not fill the small machines");
    auto &machine = *w.workers.at(sick);
    machine.sick = w.trouble();
    co_await start(w, second);
    if (w.trouble()) {
        if (!co_await w.until([&] { return machine.failed > 0; }, seconds{10}))
            throw std::runtime_error("no task was started on the machine");
        machine.sick = false;
        w.note(fmt::format("{}: fails no task any more", sick));
    }
    auto over = net::steady_now();
    auto runs = [&](const char *uid) {
        for (const auto &[name, kept] : w.workers)
            if (!kept->ended() && kept->runs_any(uid))
                return true;
        return false;
    };
    bool started = co_await w.until([&] { return runs(second); }, limit - seconds{15});
    co_await start(w, third);
    co_await w.until([&] { return runs(third); }, seconds{8});
    bool works = machine.runs_any(third);
    started = started || co_await w.until([&] { return runs(second); },
                                          limit + seconds{1} - (net::steady_now() - over));
    double waited = (net::steady_now() - over).count();
    w.note(
        fmt::format("{} s after the trouble: {} {}, {} has {} of 32 CPUs in use, {} requests for "
                    "machines",
                    waited, second, started ? "runs" : "waits", sick, 4 * machine.tasks.size(),
                    w.rented->rentals + w.rented->refusals));
    if (!started)
        w.violation(fmt::format("left waiting: {} has waited {:.0f} s after the trouble; {} has "
                                "room for it{}",
                                second, waited, sick,
                                works ? std::string(" and runs ") + third : ""));
}

} // namespace

int main() {
    world w("3", guion());
    return w.run(script, seconds{118});
}
