// A controller ends, and a late copy of a command that was carried out long before reaches a
// worker. The task that the command starts has moved to another machine meanwhile.
#include "stand_ins/worker.hpp"
#include "stand_ins/world.hpp"
#include <fmt/format.h>

using namespace review;

namespace {

constexpr const char *moved = "job-000001";  // starts on the first machine, goes on on the second
constexpr const char *urgent = "job-000002"; // may only run in the first one's zone, and is short
constexpr const char *first_machine = "i-000001", *second_machine = "i-000002";

job_form array_of_one(const char *uid, const char *crew, const char *rank, seconds run_time) {
    auto form = submission(uid, crew, "array", 1, 8, 14); // a whole machine of type mate
    form["rank"] = rank;
    form["frames"] = json::array{"mate"};
    form["bobbin"] = fmt::format("img-of-{}", uid);
    form["reckonS"] = run_time.count();
    return {form, run_time};
}

awaitable<void> script(world &w) {
    w.rented->add_running("mate", "palermo");
    w.rented->add_running("mate", "cordoba");
    auto &first = *w.workers.at(first_machine), &second = *w.workers.at(second_machine);
    std::string task = fmt::format("{}/0", moved), command;
    first.on_command = [&](const std::string &body) {
        if (command.empty() && body.find(fmt::format("\"verb\":\"start\",\"thread\":\"{}\"",
                                                     task)) != std::string::npos)
            command = body;
    };
    w.start_all();
    co_await w.until_ready();
    co_await w.until_all_report();
    w.jobs[moved] = array_of_one(moved, "plataforma-1", "idle", seconds{80});
    w.jobs[urgent] = array_of_one(urgent, "plataforma-2", "critical", seconds{3});
    w.jobs[urgent].fields["croft"] = "palermo";
    co_await w.submit(moved);
    if (!co_await w.until([&] { return first.has(task); }, seconds{15}) || command.empty())
        throw std::runtime_error("the task was not started on the first machine by a command");
    w.note("carried out: " + command);
    co_await net::sleep_for(seconds{4});
    co_await w.submit(urgent);
    if (!co_await w.until(
            [&] { return second.has(task) && w.done_tasks.count(fmt::format("{}/0", urgent)); },
            seconds{30}))
        throw std::runtime_error("the task did not move to the second machine");
    co_await net::sleep_for(seconds{8});
    if (!first.tasks.empty())
        throw std::runtime_error("the first machine still knows a task");
    w.note(fmt::format("{} runs on {}; {} knows no task", task, second_machine, first_machine));
    auto leader = *w.leader();
    if (w.trouble()) {
        w.kill(leader);
        co_await net::sleep_for(seconds{1});
        w.note(fmt::format("a late copy of the command reaches {}", first_machine));
        auto colon = first.address.rfind(':');
        net::client network(w.io,
                            {first.address.substr(0, colon), static_cast<unsigned short>(std::stoi(
                                                                 first.address.substr(colon + 1)))},
                            0);
        auto reply = co_await network.call("POST", "/commands", command, seconds{4});
        w.note(fmt::format("{} answers it: {} {}", first_machine, reply.status, reply.body));
        co_await net::sleep_for(seconds{4}); // "back about 5 s after an end"
        w.start(leader);
    }
    co_await net::sleep_for(seconds{20});
    w.note(fmt::format("{} {} on {}", task, second.has(task) ? "runs" : "does not run",
                       second_machine));
}

} // namespace

int main() {
    world w("1", guion());
    return w.run(script, seconds{110});
}
