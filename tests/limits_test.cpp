// Guards against writes beyond the key-value store's limits, which may shrink without notice while
// records of an earlier version are larger.
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

std::size_t record_limit(const settings::settings &settings) {
    return static_cast<std::size_t>(settings.value_kb * 1024);
}

heartbeat heartbeat_of(const std::string &machine, const std::string &type,
                       const std::string &zone) {
    heartbeat result{machine, "10.0.0.1:1", type, zone, false, 0, 0, 0, {}, {}};
    result.incarnation = result.sequence = 1;
    return result;
}

struct committer_fixture {
    net::asio::io_context io;
    settings::settings conf = test::small_settings();
    test::state_stand_in state{io, conf};
    store::committer commits{io, state, conf, "test"};
    std::map<std::string, write_outcome> outcome_of;

    committer_fixture() { net::spawn(io, commits.run(), "commits"); }
    void write(const std::string &key, std::size_t bytes) {
        store::write_unit unit;
        unit.owns_keys = true;
        unit.ops = {{key, fmt::format("\"{}\"", std::string(bytes, 'x')), 0}};
        unit.on_outcome = [this, key](write_outcome outcome, std::uint64_t) {
            outcome_of[key] = outcome;
        };
        commits.submit(std::move(unit));
    }
    bool until(std::size_t outcomes) {
        auto limit = net::steady_now() + 10s;
        while (outcome_of.size() < outcomes && net::steady_now() < limit)
            io.run_one_for(50ms);
        return outcome_of.size() >= outcomes;
    }
};

} // namespace

TEST(limits, an_oversized_transaction_is_split) {
    committer_fixture fixture;
    fixture.state.most_ops = 2;
    for (int i = 0; i < 12; ++i)
        fixture.write(fmt::format("p/{}", i), 10);
    ASSERT_TRUE(fixture.until(12));
    for (auto &[key, outcome] : fixture.outcome_of)
        EXPECT_EQ(outcome, write_outcome::committed) << key;
    EXPECT_EQ(fixture.state.keys.size(), 12u);
}

// Guards against an oversized value that is resent without end and makes other writes fail with it.
TEST(limits, an_oversized_value_is_rejected_once_and_alone) {
    committer_fixture fixture;
    fixture.state.most_value_bytes = 100;
    fixture.write("p/large", 200);
    fixture.write("p/small", 10);
    ASSERT_TRUE(fixture.until(2));
    EXPECT_EQ(fixture.outcome_of.at("p/large"), write_outcome::too_large);
    EXPECT_EQ(fixture.outcome_of.at("p/small"), write_outcome::committed);
    auto refusals = fixture.state.refused_as_too_large.size();
    auto commits = fixture.state.commits;
    fixture.outcome_of.clear();
    fixture.write("p/large", 200);
    ASSERT_TRUE(fixture.until(1));
    EXPECT_EQ(fixture.outcome_of.at("p/large"), write_outcome::too_large);
    EXPECT_EQ(fixture.state.refused_as_too_large.size(), refusals) << "it is not sent again";
    EXPECT_EQ(fixture.state.commits, commits);
    fixture.outcome_of.clear();
    fixture.write("p/large", 50);
    ASSERT_TRUE(fixture.until(1));
    EXPECT_EQ(fixture.outcome_of.at("p/large"), write_outcome::committed);
}

TEST(limits, a_lowered_write_rate_is_permanent) {
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

TEST(limits, a_cancelled_record_fits_for_jobs_of_any_length) {
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
    // If the record fits, nothing is left out.
    auto small = test::small_job("job-1");
    small.machine_types = {"large"};
    auto whole = catalog::cancelled_record({false, wall_at(5), {}, small}, wall_at(9), 2048);
    EXPECT_EQ(whole.spec.machine_types, small.machine_types);
}

// Guards against rewriting a record of done tasks that an earlier version filled up to limits that
// are no longer in force.
TEST(limits, an_oversized_record_of_done_tasks_is_not_rewritten) {
    auto conf = test::small_settings();
    conf.value_kb = 2;
    control::scheduler core(conf, test::small_types());
    core.begin(at(0), 5, wall_clock{});
    std::vector<wire::done_part> parts;
    for (int n = 0; n < 100; ++n) {
        auto id = fmt::format("job-{}", n);
        wire::job_record record;
        record.spec = test::small_job(id);
        record.spec.tasks = 100;
        record.spec.cpus = 1;
        core.load_job(id, record, static_cast<std::uint64_t>(n) + 1, at(0));
        wire::done_part part{id, 0, std::vector<bool>(100, false)};
        part.bits[7] = true;
        parts.push_back(part);
    }
    ASSERT_GT(wire::encode_done_parts(parts).size(), record_limit(conf));
    core.load_done("4-1", parts);
    core.finish_loading(at(0));
    auto message = heartbeat_of("i-1", "large", "a");
    message.incarnation = message.sequence = 1;
    for (int n = 0; n < 100; ++n)
        message.tasks.push_back(
            {fmt::format("job-{}", n), 9, 77, task_state::exited, exit_cause::done, false});
    core.on_heartbeat(message, at(1));
    std::set<std::string> recorded_jobs;
    for (auto now = at(1); now < at(20); now += seconds{0.5}) {
        core.tick(now);
        for (auto &write : core.take_writes(now)) {
            for (auto &operation : write.ops) {
                EXPECT_LE(operation.value.size(), record_limit(conf)) << operation.key;
                EXPECT_NE(operation.key, "d/4-1");
            }
            if (write.kind == control::write_kind::done_tasks)
                for (auto &part : wire::parse_done_parts(write.ops.front().value))
                    if (part.bits.at(9)) {
                        EXPECT_TRUE(part.bits.at(7)) << "the tasks done earlier are included";
                        recorded_jobs.insert(part.job);
                    }
            core.on_write_completed(write, true, now);
        }
    }
    EXPECT_EQ(recorded_jobs.size(), 100u);
}

// Guards against writes beyond the limits when these shrink in the middle of a failover.
TEST(limits, a_new_leader_writes_within_the_smaller_limits) {
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
        wire::job_record record;
        record.spec = test::small_job(id);
        record.spec.tasks = 300;
        core.load_job(id, record, static_cast<std::uint64_t>(n), at(0));
    }
    ASSERT_GT(wire::encode_placements(placed).size(), record_limit(conf));
    core.load_placements("4-1", placed, at(0));
    core.finish_loading(at(0));
    std::size_t writes = 0;
    std::uint64_t sequence = 0;
    for (auto now = at(1); now < at(60); now += seconds{0.5}) {
        ++sequence;
        for (int n = 0; n < 300; ++n) {
            auto message = heartbeat_of(fmt::format("i-{}", n), "large", n % 2 ? "a" : "b");
            message.incarnation = 1;
            message.sequence = sequence;
            message.token = 5;
            core.on_heartbeat(message, now);
        }
        core.tick(now);
        for (auto &write : core.take_writes(now)) {
            ++writes;
            EXPECT_LE(write.ops.size(), static_cast<std::size_t>(conf.txn_ops));
            EXPECT_LE(write.conditions.size() + write.ops.size() + 1,
                      4 * static_cast<std::size_t>(conf.txn_ops));
            for (auto &operation : write.ops)
                EXPECT_LE(operation.value.size(), record_limit(conf)) << operation.key;
            core.on_write_completed(write, true, now);
        }
    }
    EXPECT_GT(writes, 20u);
}

// Failover with 4,000 busy machines: none is considered gone, every task counts as possibly running
// until its machine's heartbeat arrives, and the fleet limit allows renting half as many again.
TEST(limits, a_failover_with_four_thousand_machines) {
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
    auto send_heartbeat = [&](int n, std::uint64_t sequence) {
        auto message = heartbeat_of(name(n), "small", n % 2 ? "a" : "b");
        message.spot = true;
        message.incarnation = 1;
        message.sequence = sequence;
        message.token = sequence > 1 ? 9 : 5;
        message.tasks.push_back({"job-1", static_cast<std::uint32_t>(n),
                                 (5ull << 20) + static_cast<std::uint64_t>(n), task_state::running,
                                 exit_cause::none, false});
        core.on_heartbeat(message, now);
        for (auto &command : core.commands_for_response(message.machine, now))
            started += command.kind == command_kind::start;
        core.on_response_sent(message.machine, control::scheduler::heartbeat_age::fresh, now);
    };
    for (std::uint64_t sequence = 1; sequence <= 4; ++sequence, now += 3s) {
        for (int n = 0; n < machines; ++n)
            send_heartbeat(n, sequence);
        core.tick(now);
        deleted += core.take_deletions(now).size();
        for (auto &write : core.take_writes(now))
            core.on_write_completed(write, true, now);
    }
    EXPECT_EQ(core.machines().size(), static_cast<std::size_t>(machines));
    EXPECT_EQ(deleted, 0u);
    EXPECT_EQ(started, 0u) << "every machine is full";
    EXPECT_EQ(core.find_job("job-1")->running_tasks(), static_cast<std::uint32_t>(machines));
    int rented = 0;
    for (int round = 0; round < 20; ++round, now += 2s) {
        core.tick(now);
        for (auto &write : core.take_writes(now))
            core.on_write_completed(write, true, now);
        for (auto &rental : core.take_rental_requests(now))
            rented += rental.count;
    }
    EXPECT_GE(rented, machines / 2);
}

// Guards against placements that use up the store's write limit while the queues of many jobs
// drain: a write contains as many jobs as its conditions allow, and all waiting tasks of each.
TEST(limits, a_placement_write_contains_all_tasks_of_as_many_jobs_as_allowed) {
    auto conf = test::small_settings();
    conf.txn_ops = 4;
    control::scheduler core(conf, test::small_types());
    core.begin(at(0), 5, wall_clock{});
    core.finish_loading(at(0));
    for (int n = 0; n < 60; ++n)
        core.on_heartbeat(heartbeat_of(fmt::format("i-{}", n), "small", n % 2 ? "a" : "b"), at(1));
    for (int n = 0; n < 20; ++n) {
        auto id = fmt::format("job-{}", n);
        wire::job_record record;
        record.accepted_at = wall_at(1);
        record.spec = test::small_job(id);
        record.spec.tasks = 3;
        core.on_job_record(id, record, static_cast<std::uint64_t>(n) + 1, at(1));
    }
    core.tick(at(2));
    std::vector<control::durable_write> placements;
    for (auto &write : core.take_writes(at(2)))
        if (write.kind == control::write_kind::placements)
            placements.push_back(write);
    ASSERT_EQ(placements.size(), 1u);
    EXPECT_EQ(placements.front().conditions.size(), 14u)
        << "16 conditions with those of the fence and the record";
    EXPECT_EQ(placements.front().placed_attempts.size(), 42u);
}
