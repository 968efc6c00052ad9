// Limits, shares and serving order of teams and jobs.
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
namespace c = spindlecroft::constants;
using test::at;
using test::in_seconds;

TEST(fairness, limits_and_shares) {
    fairness::team_queues q(test::small_settings().teams);
    auto s = test::small_job("job-1");
    s.team = "red";
    for (int k = 0; k < 3; ++k)
        q.add("red", s);
    EXPECT_TRUE(q.within_limit(s));
    EXPECT_FALSE(q.within_guarantee(s));
    q.add("red", s);
    EXPECT_FALSE(q.within_limit(s));
    EXPECT_DOUBLE_EQ(q.share_used("red"), 2.0);
    s.tasks = 5;
    EXPECT_TRUE(q.can_ever_run(s));
    s.shape = job_shape::service;
    EXPECT_FALSE(q.can_ever_run(s));
    s.team = "green";
    EXPECT_FALSE(q.can_ever_run(s));
}

TEST(fairness, the_largest_gives_way_when_not_all_can_be_in_time) {
    using fairness::all_tasks;
    // Three jobs due in 20 s, of 40, 10 and 11 s of work, and one that can't be in time any more.
    std::vector<fairness::waiting_job> jobs = {
        {{20s}, 40s, 5s}, {{20s}, 10s, 5s}, {{20s}, 11s, 5s}, {{3s}, 1s, 5s}};
    EXPECT_EQ(fairness::serving_order(jobs, 2),
              (std::vector<fairness::turn>{
                  {1, all_tasks}, {2, all_tasks}, {0, all_tasks}, {3, all_tasks}}));
    // Late for its deadline, but not for the next thing that is aimed at.
    EXPECT_EQ(
        fairness::serving_order({{{50s}, 20s, 5s}, {{-5s, 30s}, 10s, 5s}, {{-5s, -1s}, 1s, 5s}}, 2),
        (std::vector<fairness::turn>{{1, all_tasks}, {0, all_tasks}, {2, all_tasks}}));
    // One that never began begins first, with a single task; the oldest of the late has a share.
    EXPECT_EQ(fairness::serving_order({{{50s}, 20s, 5s},
                                       {{-5s}, 900s, 5s, c::aging_threshold + 1s, true, 3},
                                       {{70s}, 90s, 5s, c::starvation_threshold + 1s}},
                                      100),
              (std::vector<fairness::turn>{
                  {2, 1}, {1, 2}, {0, all_tasks}, {2, all_tasks}, {1, all_tasks}}));
}

namespace {

constexpr int slots = 40;
constexpr seconds run_time{15};

// Tasks of equal length on a fixed number of slots, served in the order that is tested.
struct overloaded_cluster {
    struct job {
        time_point arrived, due;
        std::optional<time_point> begun_at, done_at;
        int size = 0, left = 0;
    };
    boost::random::mt19937 random{7};
    boost::random::lognormal_distribution<double> sizes{3.0, 1.0};
    std::vector<job> jobs;
    std::vector<time_point> free_at = std::vector<time_point>(slots);
    double asked = 0;

    // Half as much again as can be served.
    void add_arrivals(int second) {
        const auto now = at(second);
        while (asked < 1.5 * slots * second / run_time.count()) {
            int size = std::clamp(static_cast<int>(sizes(random)), 1, 200);
            jobs.push_back({now, now + 60s, {}, {}, size, size});
            asked += size;
        }
    }

    void serve(time_point now) {
        std::vector<fairness::waiting_job> waiting;
        std::vector<std::size_t> which;
        for (std::size_t i = 0; i < jobs.size(); ++i) {
            auto &job = jobs[i];
            if (job.left == 0)
                continue;
            waiting.push_back({{job.due - now},
                               job.left * run_time,
                               run_time,
                               now - job.arrived,
                               job.begun_at.has_value()});
            which.push_back(i);
        }
        auto order = fairness::serving_order(waiting, slots);
        auto next = order.begin();
        for (auto &slot_free_at : free_at) {
            while (next != order.end() &&
                   (next->max_tasks == 0 || jobs[which[next->job]].left == 0))
                ++next;
            if (slot_free_at > now || next == order.end())
                continue;
            --next->max_tasks;
            start_task(jobs[which[next->job]], now);
            slot_free_at = now + run_time;
        }
    }

    static void start_task(job &started, time_point now) {
        if (!started.begun_at)
            started.begun_at = now;
        if (--started.left == 0)
            started.done_at = now + run_time;
    }

    // The size that one job in ten has at least.
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

// Half as much again is asked for as can be served, for twenty minutes. With the largest giving way
// alone, some of them never begin (shown by taking the rule for starved jobs out).
TEST(fairness, overload_starves_no_size) {
    overloaded_cluster cluster;
    for (int second = 0; second < 1800; ++second) {
        if (second < 1200)
            cluster.add_arrivals(second);
        cluster.serve(at(second));
    }
    int large = cluster.large_size(), of_large = 0, large_done = 0;
    for (auto &job : cluster.jobs) {
        ASSERT_TRUE(job.begun_at) << job.size << " tasks, from " << in_seconds(job.arrived);
        EXPECT_LE(*job.begun_at - job.arrived, 240s) << job.size << " tasks";
        if (job.size >= large) {
            ++of_large;
            large_done += job.done_at.has_value();
        }
    }
    EXPECT_GT(of_large, 10);
    EXPECT_GT(large_done * 2, of_large);
}
