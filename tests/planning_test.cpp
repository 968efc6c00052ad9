// Planning rounds and worker queues with thousands of tasks.
#include "builders.hpp"
#include "constants.hpp"
#include "control/scheduler.hpp"
#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace std::chrono_literals;
using test::at;
namespace {

// Machines that are up, and one array of short tasks that does not fit on all of them at once.
struct sweep {
    control::scheduler core{test::small_settings(), test::small_types()};
    int machines;

    sweep(int machine_count, std::uint32_t tasks) : machines(machine_count) {
        core.begin(at(0), 5, wall_clock{});
        core.finish_loading(at(0));
        for (int machine = 0; machine < machines; ++machine)
            send_heartbeat(machine, 1);
        wire::job_record record;
        record.spec = test::small_job("job-1");
        record.spec.tasks = tasks;
        record.spec.cpus = 0.25;
        record.spec.memory_gb = 0.4;
        record.spec.estimate = 4s;
        core.on_job_record("job-1", record, 7, at(1));
    }
    void send_heartbeat(int machine, std::uint64_t sequence) {
        auto name = fmt::format("i-{:03}", machine);
        core.on_heartbeat({name, "10.0.0.1:9000", "large", "a", false, 1, sequence, 5, {}, {}},
                          at(1));
    }
    std::size_t queued() const { return core.find_job("job-1")->queued_on.size(); }
    std::size_t placed() const { return core.find_job("job-1")->current_attempts.size(); }
};

} // namespace

// Without a limit on queued tasks, all 25,000 tasks of a sweep stood in the worker queues and were
// bid for again each second. Heartbeats were then answered too late, and the workers killed 659
// tasks when their leases expired.
TEST(planning, short_tasks_do_not_fill_the_worker_queues) {
    sweep cluster(10, 5000);
    for (auto now = at(2); now < at(12); now += seconds{0.2})
        cluster.core.tick(now);
    EXPECT_EQ(cluster.placed(), 10u * 64) << "all that fits at once is placed";
    EXPECT_GT(cluster.queued(), 0u);
    EXPECT_LE(cluster.queued(), 10 * constants::max_queued_tasks);
}

TEST(planning, a_round_is_limited_and_the_next_one_continues) {
    sweep cluster(60, 6000);
    cluster.core.tick(at(2));
    EXPECT_LE(cluster.placed() + cluster.queued(),
              static_cast<std::size_t>(constants::max_bids_per_round));
    cluster.core.tick(at(2.1));
    EXPECT_GT(cluster.placed(), static_cast<std::size_t>(constants::max_bids_per_round));
    for (auto now = at(2.2); now < at(4); now += seconds{0.1})
        cluster.core.tick(now);
    EXPECT_EQ(cluster.placed(), 60u * 64);
}
