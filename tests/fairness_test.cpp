// Limits and shares of teams, and the order in which their jobs are served.
#include "builders.hpp"
#include "constants.hpp"
#include "fairness/team_order.hpp"
#include "fairness/team_queues.hpp"
#include "test_time.hpp"
#include <algorithm>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace std::chrono_literals;
using test::at;
using test::in_seconds;

TEST(fairness, team_limits_guarantees_and_shares) {
    fairness::team_queues queues(test::small_settings().teams);
    auto spec = test::small_job("job-1");
    spec.team = "red";
    for (int task = 0; task < 3; ++task)
        queues.add("red", spec);
    EXPECT_TRUE(queues.within_limit(spec));
    EXPECT_FALSE(queues.within_guarantee(spec));
    queues.add("red", spec);
    EXPECT_FALSE(queues.within_limit(spec));
    EXPECT_DOUBLE_EQ(queues.share_used("red"), 2.0);
    spec.tasks = 5;
    EXPECT_TRUE(queues.can_ever_run(spec));
    spec.shape = job_shape::service;
    EXPECT_FALSE(queues.can_ever_run(spec));
    spec.team = "green";
    EXPECT_FALSE(queues.can_ever_run(spec));
}

TEST(fairness, jobs_that_can_be_in_time_come_first_with_least_work_first) {
    using fairness::all_tasks;
    // Three jobs due in 20 s with 40, 10 and 11 s of work, and one that cannot be in time.
    std::vector<fairness::waiting_job> jobs = {
        {{20s}, 40s, 5s}, {{20s}, 10s, 5s}, {{20s}, 11s, 5s}, {{3s}, 1s, 5s}};
    EXPECT_EQ(fairness::serving_order(jobs, 2),
              (std::vector<fairness::turn>{
                  {1, all_tasks}, {2, all_tasks}, {0, all_tasks}, {3, all_tasks}}));
    // The second job is late for its first due time, but not for its second.
    EXPECT_EQ(
        fairness::serving_order({{{50s}, 20s, 5s}, {{-5s, 30s}, 10s, 5s}, {{-5s, -1s}, 1s, 5s}}, 2),
        (std::vector<fairness::turn>{{1, all_tasks}, {0, all_tasks}, {2, all_tasks}}));
    // A starved job goes first with a single task, then the oldest late job with its share.
    EXPECT_EQ(fairness::serving_order({{{50s}, 20s, 5s},
                                       {{-5s}, 900s, 5s, constants::aging_threshold + 1s, true, 3},
                                       {{70s}, 90s, 5s, constants::starvation_threshold + 1s}},
                                      100),
              (std::vector<fairness::turn>{
                  {2, 1}, {1, 2}, {0, all_tasks}, {2, all_tasks}, {1, all_tasks}}));
}

namespace {

constexpr int slots = 40;
constexpr seconds run_time{15};

// Runs tasks of equal length on a fixed number of slots, in the order returned by serving_order.
struct overloaded_cluster {
    struct job {
        time_point arrived_at, due_at;
        std::optional<time_point> started_at, done_at;
        int size = 0, tasks_left = 0;
    };
    boost::random::mt19937 random{7};
    boost::random::lognormal_distribution<double> sizes{3.0, 1.0};
    std::vector<job> jobs;
    std::vector<time_point> slots_free_at = std::vector<time_point>(slots);
    double requested_tasks = 0;

    // Adds jobs up to 1.5 times the load that the slots can serve.
    void add_arrivals(int second) {
        const auto now = at(second);
        while (requested_tasks < 1.5 * slots * second / run_time.count()) {
            int size = std::clamp(static_cast<int>(sizes(random)), 1, 200);
            jobs.push_back({now, now + 60s, {}, {}, size, size});
            requested_tasks += size;
        }
    }

    void serve(time_point now) {
        std::vector<fairness::waiting_job> waiting;
        std::vector<std::size_t> job_positions;
        for (std::size_t i = 0; i < jobs.size(); ++i) {
            auto &job = jobs[i];
            if (job.tasks_left == 0)
                continue;
            waiting.push_back({{job.due_at - now},
                               job.tasks_left * run_time,
                               run_time,
                               now - job.arrived_at,
                               job.started_at.has_value()});
            job_positions.push_back(i);
        }
        auto order = fairness::serving_order(waiting, slots);
        auto next = order.begin();
        for (auto &slot_free_at : slots_free_at) {
            while (next != order.end() &&
                   (next->max_tasks == 0 || jobs[job_positions[next->job]].tasks_left == 0))
                ++next;
            if (slot_free_at > now || next == order.end())
                continue;
            --next->max_tasks;
            start_task(jobs[job_positions[next->job]], now);
            slot_free_at = now + run_time;
        }
    }

    static void start_task(job &starting, time_point now) {
        if (!starting.started_at)
            starting.started_at = now;
        if (--starting.tasks_left == 0)
            starting.done_at = now + run_time;
    }

    // Returns the 90th percentile of the job sizes.
    int large_size() const {
        std::vector<int> by_size;
        by_size.reserve(jobs.size());
        for (auto &job : jobs)
            by_size.push_back(job.size);
        std::sort(by_size.begin(), by_size.end());
        return by_size[by_size.size() * 9 / 10];
    }
};

} // namespace

// For twenty minutes, 1.5 times the load that the slots can serve arrives. Ordered by least work
// alone, some of the largest jobs never start: the test fails without the rule for starved jobs.
TEST(fairness, no_job_size_starves_under_overload) {
    overloaded_cluster cluster;
    for (int second = 0; second < 1800; ++second) {
        if (second < 1200)
            cluster.add_arrivals(second);
        cluster.serve(at(second));
    }
    int large = cluster.large_size(), large_count = 0, large_done = 0;
    for (auto &job : cluster.jobs) {
        ASSERT_TRUE(job.started_at) << job.size << " tasks, from " << in_seconds(job.arrived_at);
        EXPECT_LE(*job.started_at - job.arrived_at, 240s) << job.size << " tasks";
        if (job.size >= large) {
            ++large_count;
            large_done += job.done_at.has_value();
        }
    }
    EXPECT_GT(large_count, 10);
    EXPECT_GT(large_done * 2, large_count);
}
