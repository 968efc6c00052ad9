// Rounds of bids and worker queues at full size.
#include "builders.hpp"
#include "constants.hpp"
#include "control/scheduler.hpp"
#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace std::chrono_literals;
using test::at;
namespace c = constants;

namespace {

// Machines that have reported, and one array of short tasks that fits on none of them at once.
struct sweep {
    control::scheduler core{test::small_settings(), test::small_types()};
    int machines;

    sweep(int machine_count, std::uint32_t tasks) : machines(machine_count) {
        core.begin(at(0), 5, wall_clock{});
        core.finish_loading(at(0));
        for (int k = 0; k < machines; ++k)
            report(k, 1);
        wire::job_record r;
        r.spec = test::small_job("job-1");
        r.spec.tasks = tasks;
        r.spec.cpus = 0.25;
        r.spec.memory_gb = 0.4;
        r.spec.estimate = 4s;
        core.on_job_record("job-1", r, 7, at(1));
    }
    void report(int k, std::uint64_t sequence) {
        auto name = fmt::format("i-{:03}", k);
        core.on_heartbeat({name, "10.0.0.1:9000", "large", "a", false, 1, sequence, 5, {}, {}},
                          at(1));
    }
    std::size_t queued() const { return core.find_job("job-1")->queued_on.size(); }
    std::size_t placed() const { return core.find_job("job-1")->current_attempts.size(); }
};

} // namespace

// A sweep of 25,000 tasks once stood in the worker queues as a whole and was bid anew each second:
// heartbeats were answered too late and 659 tasks were killed by their lease.
TEST(planning, short_tasks_do_not_fill_the_worker_queues) {
    sweep s(10, 5000);
    for (auto now = at(2); now < at(12); now += seconds{0.2})
        s.core.tick(now);
    EXPECT_EQ(s.placed(), 10u * 64) << "all that fits at once is placed";
    EXPECT_GT(s.queued(), 0u);
    EXPECT_LE(s.queued(), 10 * c::max_queued_tasks);
}

TEST(planning, a_round_is_bounded_and_the_next_goes_on) {
    sweep s(60, 6000);
    s.core.tick(at(2));
    EXPECT_LE(s.placed() + s.queued(), static_cast<std::size_t>(c::max_bids_per_round));
    s.core.tick(at(2.1));
    EXPECT_GT(s.placed(), static_cast<std::size_t>(c::max_bids_per_round));
    for (auto now = at(2.2); now < at(4); now += seconds{0.1})
        s.core.tick(now);
    EXPECT_EQ(s.placed(), 60u * 64);
}
