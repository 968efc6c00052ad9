// The version in production and the present one as real processes next to each other, on each
// other's records, against the stand-ins of this repository.
#include "process_cluster.hpp"
#include <gtest/gtest.h>
#include <set>

using namespace spindlecroft;
using namespace spindlecroft::test;

namespace {

// Users and a worker who go on while controllers are replaced, and what they were told.
struct day {
    explicit day(const std::string &name) : cluster(name), worker(cluster) {}
    process_cluster cluster;
    reporting_worker worker;
    int submitted = 0;
    std::set<std::string> accepted, cancelled, done;
    std::vector<std::string> broken;

    std::string submit() {
        auto id = fmt::format("job-{}", ++submitted);
        for (std::size_t node = 0; node < 3; ++node) {
            auto status = cluster.submit(node, submission(id, 0.1));
            if (status == 201 || status == 200) {
                accepted.insert(id);
                return id;
            }
        }
        return "";
    }

    void cancel(const std::string &id) {
        for (std::size_t node = 0; node < 3; ++node)
            if (cluster.cancel(node, id) == "200 aborted") {
                cancelled.insert(id);
                return;
            }
    }

    // Whatever a node answers of a job must agree with all that users were told.
    void look(const std::string &id) {
        for (std::size_t node = 0; node < 3; ++node) {
            auto state = cluster.poll(node, id);
            if (!state.starts_with("200"))
                continue;
            if (cancelled.count(id) && state != "200 aborted")
                broken.push_back(fmt::format("{} was cancelled, now {}", id, state));
            if (done.count(id) && state != "200 done")
                broken.push_back(fmt::format("{} was done, now {}", id, state));
            if (!cancelled.count(id) && state == "200 aborted")
                broken.push_back(id + " was never cancelled");
            if (state == "200 done")
                done.insert(id);
        }
    }

    // 404 for what was accepted.
    void look_for_all() {
        for (auto &id : accepted) {
            for (std::size_t node = 0; node < 3; ++node)
                if (cluster.poll(node, id) == "404")
                    broken.push_back(id + " is forgotten");
            look(id);
        }
    }

    void step() {
        worker.report();
        cluster.run(50ms);
    }

    bool until(const std::function<bool()> &what, seconds time_limit = 40s) {
        auto limit = net::steady_now() + time_limit;
        while (!what() && net::steady_now() < limit)
            step();
        return what();
    }

    bool leader_found() {
        auto seen = worker.answers;
        return until([&] { return worker.answers > seen; });
    }

    // Users go on for a while: one job runs to its end, one is cancelled, one stays.
    void work() {
        ASSERT_TRUE(leader_found());
        auto first = submit(), second = submit(), third = submit();
        ASSERT_FALSE(first.empty() || second.empty() || third.empty());
        ASSERT_TRUE(until([&] { return worker.runs(first) && worker.runs(second); }));
        worker.finish(first);
        cancel(second);
        EXPECT_TRUE(until([&] { return !worker.runs(second); }));
        EXPECT_TRUE(until([&] {
            look(first);
            return done.count(first) > 0;
        }));
        look(second);
        look(third);
    }

    void expect_all_kept() {
        look_for_all();
        EXPECT_TRUE(broken.empty()) << broken.size() << ", first: " << broken.front();
        EXPECT_TRUE(worker.started_twice.empty()) << worker.started_twice.front();
        for (auto &id : accepted) {
            if (cancelled.count(id) || done.count(id))
                continue;
            EXPECT_TRUE(until([&] { return worker.runs(id); })) << id;
        }
    }
};

} // namespace

TEST(upgrade, controllers_are_replaced_one_by_one_under_load) {
    day d("replaced");
    for (std::size_t node = 0; node < 3; ++node)
        d.cluster.start(node, version::production);
    ASSERT_TRUE(d.cluster.ready());
    d.work();
    for (std::size_t node = 0; node < 3; ++node) {
        d.cluster.replace(node, version::present);
        if (node == 0) // one dies before its turn, and comes back as it was
            d.cluster.replace(2, version::production);
        d.work();
        ASSERT_TRUE(d.cluster.ready());
    }
    d.expect_all_kept();
    // Now that all are new: what is new may be asked for.
    auto last = d.submit();
    auto list = "[\"" + last + "\"]";
    ASSERT_EQ(d.cluster.submit(0, submission("job-900", 0.1, "blue", list)), 201);
    ASSERT_TRUE(d.until([&] { return d.worker.runs(last); }));
    EXPECT_FALSE(d.worker.runs("job-900"));
    d.worker.finish(last);
    EXPECT_TRUE(d.until([&] { return d.worker.runs("job-900"); }));
}

// Leadership passes from old to new, from new to old and back, with running tasks each time.
TEST(upgrade, leadership_passes_in_both_directions) {
    day d("directions");
    std::array<version, 3> runs{version::production, version::present, version::production};
    for (std::size_t node = 0; node < 3; ++node)
        d.cluster.start(node, runs[node]);
    ASSERT_TRUE(d.cluster.ready());
    int old_to_new = 0, new_to_old = 0;
    for (int change = 0; change < 12 && (old_to_new < 2 || new_to_old < 1); ++change) {
        d.work();
        auto former = d.worker.node;
        d.cluster.kill(former);
        ASSERT_TRUE(d.until([&] { return d.worker.node != former && d.worker.report(); }));
        auto next = d.worker.node;
        old_to_new += runs[former] == version::production && runs[next] == version::present;
        new_to_old += runs[former] == version::present && runs[next] == version::production;
        // Whoever comes back is of the other version every other time, so that both meet.
        if (change % 3 == 2)
            runs[former] =
                runs[former] == version::present ? version::production : version::present;
        d.cluster.start(former, runs[former]);
        ASSERT_TRUE(d.cluster.ready());
    }
    EXPECT_GE(old_to_new, 1);
    EXPECT_GE(new_to_old, 1);
    d.expect_all_kept();
}

// Guards against too_early: production neither starts a job with predecessors nor touches its
// record.
TEST(upgrade, production_leaves_a_job_with_predecessors_alone) {
    day d("left_alone");
    wire::job_record record;
    record.accepted_at = wall_at(1);
    record.spec = small_job("job-800");
    record.spec.cpus = 0.1;
    record.spec.predecessors = {"job-1"};
    d.cluster.state.put("j/a/job-800", json::parse(wire::encode_job_record(record)), 0);
    ++d.cluster.state.ledger;
    for (std::size_t node = 0; node < 3; ++node)
        d.cluster.start(node, version::production);
    ASSERT_TRUE(d.cluster.ready());
    ASSERT_TRUE(d.leader_found());
    ASSERT_EQ(d.submit(), "job-1");
    ASSERT_TRUE(d.until([&] { return d.worker.runs("job-1"); }));
    auto until = net::steady_now() + 3s;
    d.until([&] { return net::steady_now() > until; });
    EXPECT_FALSE(d.worker.runs("job-800"));
    EXPECT_EQ(d.cluster.state.keys.count("j/a/job-800"), 1u);
    for (std::size_t node = 0; node < 3; ++node)
        d.cluster.replace(node, version::present);
    ASSERT_TRUE(d.cluster.ready());
    ASSERT_TRUE(d.leader_found());
    EXPECT_EQ(d.cluster.poll(0, "job-800"), "200 pending");
    EXPECT_FALSE(d.worker.runs("job-800"));
    d.worker.finish("job-1");
    EXPECT_TRUE(d.until([&] { return d.worker.runs("job-800"); }));
}
