// The key-value store's limits shrink without notice, and what an earlier version wrote is larger.
#include "builders.hpp"
#include "catalog/cancelled_record.hpp"
#include "constants.hpp"
#include "control/scheduler.hpp"
#include "key_value_stand_in.hpp"
#include "store/committer.hpp"
#include "store/write_rate.hpp"
#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace std::chrono_literals;
using store::write_outcome;
using test::at;
using test::wall_at;
namespace c = constants;

namespace {

std::size_t record_limit(const settings::settings &s) {
    return static_cast<std::size_t>(s.value_kb * 1024);
}

heartbeat report_of(const std::string &machine, const std::string &type, const std::string &zone) {
    heartbeat r{machine, "10.0.0.1:1", type, zone, false, 0, 0, 0, {}, {}};
    r.incarnation = r.sequence = 1;
    return r;
}

struct committing {
    net::asio::io_context io;
    settings::settings conf = test::small_settings();
    test::state_stand_in state{io, conf};
    store::committer commits{io, state, conf, "test"};
    std::map<std::string, write_outcome> told;

    committing() { net::spawn(io, commits.run(), "commits"); }
    void write(const std::string &key, std::size_t bytes) {
        store::write_unit u;
        u.owns_keys = true;
        u.ops = {{key, fmt::format("\"{}\"", std::string(bytes, 'x')), 0}};
        u.on_outcome = [this, key](write_outcome how, std::uint64_t) { told[key] = how; };
        commits.submit(std::move(u));
    }
    bool until(std::size_t outcomes) {
        auto limit = net::steady_now() + 10s;
        while (told.size() < outcomes && net::steady_now() < limit)
            io.run_one_for(50ms);
        return told.size() >= outcomes;
    }
};

} // namespace

TEST(limits, a_transaction_that_is_too_large_is_split) {
    committing c;
    c.state.most_ops = 2;
    for (int i = 0; i < 12; ++i)
        c.write(fmt::format("p/{}", i), 10);
    ASSERT_TRUE(c.until(12));
    for (auto &[key, how] : c.told)
        EXPECT_EQ(how, write_outcome::committed) << key;
    EXPECT_EQ(c.state.keys.size(), 12u);
}

// Guards against a change that is sent and refused for ever, and that takes others with it.
TEST(limits, a_value_that_is_too_large_is_refused_once_and_alone) {
    committing c;
    c.state.most_value_bytes = 100;
    c.write("p/large", 200);
    c.write("p/small", 10);
    ASSERT_TRUE(c.until(2));
    EXPECT_EQ(c.told.at("p/large"), write_outcome::too_large);
    EXPECT_EQ(c.told.at("p/small"), write_outcome::committed);
    auto refusals = c.state.refused_as_too_large.size();
    auto commits = c.state.commits;
    c.told.clear();
    c.write("p/large", 200);
    ASSERT_TRUE(c.until(1));
    EXPECT_EQ(c.told.at("p/large"), write_outcome::too_large);
    EXPECT_EQ(c.state.refused_as_too_large.size(), refusals) << "it is not sent again";
    EXPECT_EQ(c.state.commits, commits);
    c.told.clear();
    c.write("p/large", 50);
    ASSERT_TRUE(c.until(1));
    EXPECT_EQ(c.told.at("p/large"), write_outcome::committed);
}

TEST(limits, the_smaller_rate_holds_for_good_once_it_shows) {
    store::write_rate_limit rate(20, 15);
    EXPECT_FALSE(rate.note_refusal(at(0))) << "one refusal may have other reasons";
    EXPECT_FALSE(rate.note_refusal(at(30)));
    EXPECT_FALSE(rate.note_refusal(at(31)));
    EXPECT_EQ(rate.limit(), 20);
    EXPECT_TRUE(rate.note_refusal(at(32)));
    EXPECT_EQ(rate.limit(), 15);
    EXPECT_FALSE(rate.note_refusal(at(33)));
    EXPECT_EQ(rate.limit(), 15);
    store::write_rate_limit steady(20, {});
    for (int i = 0; i < 50; ++i)
        EXPECT_FALSE(steady.note_refusal(at(i * 0.1)));
    EXPECT_EQ(steady.limit(), 20);
}

TEST(limits, a_cancel_fits_however_long_the_job_was) {
    auto spec = test::small_job("job-1");
    spec.machine_types = std::vector<std::string>(300, "a_type_of_machine");
    spec.predecessors = std::vector<std::string>(100, "job-000002");
    spec.zone = std::string(200, 'z');
    spec.image = std::string(200, '\x01'); // six bytes each in JSON
    auto record = catalog::cancelled_record({false, wall_at(5), {}, spec}, wall_at(9), 2048);
    auto value = wire::encode_job_record(record);
    EXPECT_LE(value.size(), 2048u);
    auto read = wire::parse_job_record(value);
    EXPECT_TRUE(read.cancelled);
    EXPECT_EQ(read.cancelled_at, wall_at(9));
    EXPECT_EQ(read.spec.id, "job-1");
    EXPECT_EQ(read.spec.tasks, spec.tasks);
    // Where there is room, nothing is left out.
    auto small = test::small_job("job-1");
    small.machine_types = {"large"};
    auto whole = catalog::cancelled_record({false, wall_at(5), {}, small}, wall_at(9), 2048);
    EXPECT_EQ(whole.spec.machine_types, small.machine_types);
}

// An earlier version filled a record of done tasks up to limits that are no longer in force.
TEST(limits, a_large_record_of_done_tasks_is_not_written_again) {
    auto conf = test::small_settings();
    conf.value_kb = 2;
    control::scheduler core(conf, test::small_types());
    core.begin(at(0), 5, wall_clock{});
    std::vector<wire::done_part> parts;
    for (int n = 0; n < 100; ++n) {
        auto id = fmt::format("job-{}", n);
        wire::job_record r;
        r.spec = test::small_job(id);
        r.spec.tasks = 100;
        r.spec.cpus = 1;
        core.load_job(id, r, static_cast<std::uint64_t>(n) + 1, at(0));
        wire::done_part part{id, 0, std::vector<bool>(100, false)};
        part.bits[7] = true;
        parts.push_back(part);
    }
    ASSERT_GT(wire::encode_done_parts(parts).size(), record_limit(conf));
    core.load_done("4-1", parts);
    core.finish_loading(at(0));
    auto r = report_of("i-1", "large", "a");
    r.incarnation = r.sequence = 1;
    for (int n = 0; n < 100; ++n)
        r.tasks.push_back(
            {fmt::format("job-{}", n), 9, 77, task_state::exited, exit_cause::done, false});
    core.on_heartbeat(r, at(1));
    std::set<std::string> told;
    for (auto now = at(1); now < at(20); now += seconds{0.5}) {
        core.tick(now);
        for (auto &w : core.take_writes(now)) {
            for (auto &o : w.ops) {
                EXPECT_LE(o.value.size(), record_limit(conf)) << o.key;
                EXPECT_NE(o.key, "d/4-1");
            }
            if (w.kind == control::write_kind::done_tasks)
                for (auto &part : wire::parse_done_parts(w.ops.front().value))
                    if (part.bits.at(9)) {
                        EXPECT_TRUE(part.bits.at(7)) << "what was done before is there too";
                        told.insert(part.job);
                    }
            core.on_write_completed(w, true, now);
        }
    }
    EXPECT_EQ(told.size(), 100u);
}

// Limits shrink in the middle of a failover: whatever the next leader writes is within them.
TEST(limits, everything_a_leader_writes_is_within_the_smaller_limits) {
    auto conf = test::small_settings();
    conf.value_kb = 2;
    conf.txn_ops = 4;
    control::scheduler core(conf, test::small_types());
    core.begin(at(0), 5, wall_clock{});
    std::vector<wire::placed_task> placed;
    for (std::uint32_t n = 0; n < 200; ++n)
        placed.push_back({"job-1", n, (4ull << 20) + n, fmt::format("i-{}", n)});
    for (int n = 1; n <= 40; ++n) {
        auto id = fmt::format("job-{}", n);
        wire::job_record r;
        r.spec = test::small_job(id);
        r.spec.tasks = 300;
        core.load_job(id, r, static_cast<std::uint64_t>(n), at(0));
    }
    ASSERT_GT(wire::encode_placements(placed).size(), record_limit(conf));
    core.load_placements("4-1", placed, at(0));
    core.finish_loading(at(0));
    std::size_t writes = 0;
    std::uint64_t sequence = 0;
    for (auto now = at(1); now < at(60); now += seconds{0.5}) {
        ++sequence;
        for (int n = 0; n < 300; ++n) {
            auto r = report_of(fmt::format("i-{}", n), "large", n % 2 ? "a" : "b");
            r.incarnation = 1;
            r.sequence = sequence;
            r.token = 5;
            core.on_heartbeat(r, now);
        }
        core.tick(now);
        for (auto &w : core.take_writes(now)) {
            ++writes;
            EXPECT_LE(w.ops.size(), static_cast<std::size_t>(conf.txn_ops));
            EXPECT_LE(w.conditions.size() + w.ops.size() + 1,
                      4 * static_cast<std::size_t>(conf.txn_ops));
            for (auto &o : w.ops)
                EXPECT_LE(o.value.size(), record_limit(conf)) << o.key;
            core.on_write_completed(w, true, now);
        }
    }
    EXPECT_GT(writes, 20u);
}

// About 4,000 machines with work on all of them change hands: none is taken for gone, every task is
// counted as possibly running until its machine has reported, and there is room to rent half as
// many again.
TEST(limits, a_takeover_with_four_thousand_machines) {
    constexpr int machines = 4000;
    auto conf = test::small_settings();
    ASSERT_GE(conf.options.fleet_limit, machines * 3 / 2);
    control::scheduler core(conf, test::small_types());
    core.begin(at(0), 9, wall_clock{});
    wire::job_record job;
    job.spec = test::small_job("job-1");
    job.spec.tasks = 2 * machines;
    core.load_job("job-1", job, 1, at(0));
    std::vector<listed_machine> hosts;
    std::vector<wire::placed_task> placed;
    auto name = [](int n) { return fmt::format("i-{:06}", n); };
    for (int n = 0; n < machines; ++n) {
        placed.push_back({"job-1", static_cast<std::uint32_t>(n),
                          (5ull << 20) + static_cast<std::uint64_t>(n), name(n)});
        hosts.push_back({name(n), "10.0.0.1:1", "small", n % 2 ? "a" : "b", true,
                         machine_state::running, 100s});
    }
    core.load_placements("5-1", placed, at(0));
    core.finish_loading(at(0));
    core.on_machine_list(hosts, at(0.5), at(0.5));
    auto now = at(1);
    std::size_t deleted = 0, started = 0;
    auto report = [&](int n, std::uint64_t sequence) {
        auto r = report_of(name(n), "small", n % 2 ? "a" : "b");
        r.spot = true;
        r.incarnation = 1;
        r.sequence = sequence;
        r.token = sequence > 1 ? 9 : 5;
        r.tasks.push_back({"job-1", static_cast<std::uint32_t>(n),
                           (5ull << 20) + static_cast<std::uint64_t>(n), task_state::running,
                           exit_cause::none, false});
        core.on_heartbeat(r, now);
        for (auto &o : core.commands_for_response(r.machine, now))
            started += o.kind == command_kind::start;
        core.on_response_sent(r.machine, control::scheduler::heartbeat_age::fresh, now);
    };
    for (std::uint64_t sequence = 1; sequence <= 4; ++sequence, now += 3s) {
        for (int n = 0; n < machines; ++n)
            report(n, sequence);
        core.tick(now);
        deleted += core.take_deletions(now).size();
        for (auto &w : core.take_writes(now))
            core.on_write_completed(w, true, now);
    }
    EXPECT_EQ(core.machines().size(), static_cast<std::size_t>(machines));
    EXPECT_EQ(deleted, 0u);
    EXPECT_EQ(started, 0u) << "every machine is full";
    EXPECT_EQ(core.find_job("job-1")->running_tasks(), static_cast<std::uint32_t>(machines));
    int rented = 0;
    for (int round = 0; round < 20; ++round, now += 2s) {
        core.tick(now);
        for (auto &w : core.take_writes(now))
            core.on_write_completed(w, true, now);
        for (auto &q : core.take_rental_requests(now))
            rented += q.count;
    }
    EXPECT_GE(rented, machines / 2);
}

// Guards against placements that take every change the service allows while the queues of many jobs
// drain: a write names as many jobs as its conditions allow, and takes all tasks of each.
TEST(limits, a_placement_write_covers_all_tasks_of_as_many_jobs_as_it_may_name) {
    auto conf = test::small_settings();
    conf.txn_ops = 4;
    control::scheduler core(conf, test::small_types());
    core.begin(at(0), 5, wall_clock{});
    core.finish_loading(at(0));
    for (int n = 0; n < 60; ++n)
        core.on_heartbeat(report_of(fmt::format("i-{}", n), "small", n % 2 ? "a" : "b"), at(1));
    for (int n = 0; n < 20; ++n) {
        auto id = fmt::format("job-{}", n);
        wire::job_record r;
        r.accepted_at = wall_at(1);
        r.spec = test::small_job(id);
        r.spec.tasks = 3;
        core.on_job_record(id, r, static_cast<std::uint64_t>(n) + 1, at(1));
    }
    core.tick(at(2));
    std::vector<control::durable_write> placements;
    for (auto &w : core.take_writes(at(2)))
        if (w.kind == control::write_kind::placements)
            placements.push_back(w);
    ASSERT_EQ(placements.size(), 1u);
    EXPECT_EQ(placements.front().conditions.size(), 14u)
        << "with the fence and the record 16 conditions";
    EXPECT_EQ(placements.front().placed_attempts.size(), 42u);
}
