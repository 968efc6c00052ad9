// Randomized simulation of the exchange of cancellation notices between controllers, in which the
// key-value store refuses the leader or every controller while users cancel jobs. It guards against
// tasks of a cancelled job that outlive the cancel deadline because the leader did not learn of the
// cancellation.
#include "constants.hpp"
#include "membership/cancel_exchange.hpp"
#include "test_time.hpp"
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <fmt/format.h>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <memory>

using namespace spindlecroft;
using namespace std::chrono_literals;
using membership::cancel_log;
using membership::cancel_log_reader;
using test::at;
using test::in_seconds;

namespace {

// A leader, other controllers, workers and the key-value store. The same controller leads
// throughout (other tests cover elections); it may lose contact with the key-value store, single
// controllers and its workers.
struct cancel_simulation {
    static constexpr seconds lease_duration{26.5}, cancel_deadline{51.5}, heartbeat_interval{5.0},
        step{0.05};
    static constexpr time_point long_ago = test::at(-1e9);

    struct job {
        std::optional<time_point> confirmed_at; // when the cancellation was confirmed to its user
        std::uint64_t revision = 0;
        bool known_to_leader = false; // the leader knows of the cancellation
        time_point known_to_leader_at{}, lease_renewed_at{}, next_heartbeat{};
        bool running = true, killed = false;
        time_point killed_at{};
    };
    struct node {
        std::unique_ptr<cancel_log> log;
        int incarnation = 0;
        bool up = true, loaded = false, partitioned = false;
        time_point restart_at{}, fresh_at = long_ago, next_read_at{};
        std::uint64_t revision = 0;
        cancel_log_reader log_reader; // the leader's reader of this controller's log
        time_point request_pending_until{}, next_request_at{};
    };

    boost::random::mt19937 random;
    std::vector<node> nodes{5}; // the first one is the leader
    std::map<std::string, job> jobs;
    std::multimap<time_point, std::function<void()>> events;
    std::uint64_t revision = 10;
    time_point now = test::at(100);
    time_point outage_until{}, refused_until{}, outbound_partition_until{}, cloud_down_until{};
    std::vector<std::string> violations;
    int cancelled = 0, learned_from_peers = 0;
    std::size_t max_log_entries;

    // max_entries: entries in each log. A short log drops entries that are still needed.
    cancel_simulation(unsigned seed, std::size_t max_entries)
        : random(seed), max_log_entries(max_entries) {
        for (auto &node : nodes)
            start(node);
        for (int index = 0; index < 60; ++index)
            jobs[fmt::format("job-{:03}", index)].lease_renewed_at = now;
    }

    double uniform(double low, double high) {
        return boost::random::uniform_real_distribution<double>(low, high)(random);
    }
    seconds random_duration(double low, double high) { return seconds{uniform(low, high)}; }
    int integer(int low, int high) {
        return boost::random::uniform_int_distribution<int>(low, high)(random);
    }
    void at(time_point time, std::function<void()> action) {
        events.emplace(time, std::move(action));
    }
    bool served(std::size_t index) const {
        return now >= outage_until && (index != 0 || now >= refused_until);
    }

    void start(node &node) {
        auto index = static_cast<std::size_t>(&node - nodes.data());
        node.log = std::make_unique<cancel_log>(fmt::format("{}#{}", index, ++node.incarnation),
                                                max_log_entries, 2);
        node.up = true;
        node.loaded = false;
        node.fresh_at = long_ago;
        node.revision = 0;
    }

    // Reads all records: every cancellation durable now becomes known.
    void read(std::size_t index) {
        auto &node = nodes[index];
        node.next_read_at = now + random_duration(0.1, 2.0);
        if (!served(index))
            return;
        for (auto &[id, job] : jobs)
            if (job.revision > node.revision) {
                node.log->append({id, job.revision, {}});
                if (index == 0)
                    on_leader_learned(id);
            }
        node.revision = revision;
        node.fresh_at = now;
        node.loaded = true;
    }

    void on_leader_learned(const std::string &id) {
        auto &job = jobs.at(id);
        if (!job.known_to_leader)
            job.known_to_leader_at = now;
        job.known_to_leader = true;
    }

    // A user cancels a job at a controller: the cancellation becomes durable, is logged, and is
    // then confirmed.
    void cancel(std::size_t index) {
        if (!served(index) || !nodes[index].up || !nodes[index].loaded)
            return;
        auto id = fmt::format("job-{:03}", integer(0, 59));
        auto &job = jobs.at(id);
        if (job.revision)
            return;
        job.revision = ++revision;
        auto incarnation = nodes[index].incarnation;
        at(now + random_duration(0.01, 0.8), [this, index, id, incarnation] {
            if (!nodes[index].up || nodes[index].incarnation != incarnation)
                return; // not confirmed to its user
            nodes[index].log->append({id, jobs.at(id).revision, {}});
            if (index == 0)
                on_leader_learned(id);
            at(now + seconds{0.001}, [this, id] { jobs.at(id).confirmed_at = now; });
            ++cancelled;
        });
    }

    void poll_log(std::size_t index) {
        auto &node = nodes[index];
        node.next_request_at = now + constants::leader_renew_interval;
        if (now < node.request_pending_until)
            return;
        node.request_pending_until = now + constants::peer_timeout;
        if (!node.up || node.partitioned || uniform(0, 1) < 0.03)
            return;
        auto request = node.log_reader.next_request(nodes[0].revision);
        auto sent_at = now;
        auto response_delay = random_duration(0.01, 0.3);
        at(now + random_duration(0.01, 0.25), [this, index, request, sent_at, response_delay] {
            auto &node = nodes[index];
            if (!node.up || node.partitioned)
                return;
            node.log->drop_through(request.revision);
            auto response = node.log->respond(request);
            response.records_loaded = node.loaded;
            response.read_age = now - node.fresh_at;
            if (uniform(0, 1) < 0.03)
                return; // the response is lost
            at(now + response_delay, [this, index, request, response, sent_at] {
                auto &node = nodes[index];
                node.request_pending_until = {};
                for (auto &notice : node.log_reader.on_response(request, response, sent_at)) {
                    if (!jobs.at(notice.job).known_to_leader)
                        ++learned_from_peers;
                    on_leader_learned(notice.job);
                    nodes[0].log->append(notice);
                }
            });
        });
    }

    time_point known_until() const {
        std::vector<const cancel_log_reader *> readers;
        for (std::size_t index = 1; index < nodes.size(); ++index)
            readers.push_back(&nodes[index].log_reader);
        return membership::cancels_complete_until(now, nodes[0].fresh_at, readers);
    }

    void advance_worker(const std::string &id, job &job) {
        if (!job.running)
            return;
        if (now - job.lease_renewed_at > lease_duration) {
            job.running = false;
            return;
        }
        if (now >= job.next_heartbeat) {
            job.next_heartbeat = now + uniform(0.75, 1.25) * heartbeat_interval;
            if (now >= outbound_partition_until &&
                membership::may_renew_lease(now, known_until(), lease_duration, cancel_deadline)) {
                job.lease_renewed_at = now;
                if (job.known_to_leader) {
                    job.running = false;
                    job.killed = true;
                }
            }
        }
        // The leader deletes the machine if the worker does not report in time that the task was
        // killed.
        if (job.known_to_leader &&
            now - job.known_to_leader_at > constants::cancel_delete_share * cancel_deadline &&
            now >= cloud_down_until)
            job.running = false, job.killed = true;
        if (job.confirmed_at && job.running && now > *job.confirmed_at + cancel_deadline)
            violations.push_back(fmt::format(
                "{:.1f}: {} still running, cancellation confirmed at {:.1f}, {} to the leader",
                in_seconds(now), id, in_seconds(*job.confirmed_at),
                job.known_to_leader ? "known" : "unknown"));
    }

    void run(time_point until) {
        for (; now < until && violations.empty(); now += step) {
            while (!events.empty() && events.begin()->first <= now) {
                auto action = std::move(events.begin()->second);
                events.erase(events.begin());
                action();
            }
            for (std::size_t index = 0; index < nodes.size(); ++index) {
                auto &node = nodes[index];
                if (!node.up && now >= node.restart_at)
                    start(node);
                if (node.up && now >= node.next_read_at)
                    read(index);
                if (index > 0 && now >= node.next_request_at)
                    poll_log(index);
            }
            for (auto &[id, job] : jobs)
                advance_worker(id, job);
        }
    }

    void crash(std::size_t index, seconds length) {
        nodes[index].up = false;
        nodes[index].restart_at = now + length;
    }
};

class cancel_simulation_test : public testing::TestWithParam<unsigned> {};

} // namespace

// The key-value store refuses only the leader, other controllers confirm cancellations, then the
// store is down for all for longer than the cancel deadline. Cancelled tasks must end in time, and
// no other task may end.
TEST_P(cancel_simulation_test, store_outage_after_refusing_the_leader_ends_only_cancelled_tasks) {
    cancel_simulation simulation(GetParam(), 40);
    simulation.run(at(110));
    simulation.refused_until = at(124);
    simulation.at(simulation.now + 2s,
                  [&] { simulation.outage_until = simulation.now + seconds{63.5}; });
    for (int repetition = 0; repetition < 12; ++repetition)
        simulation.at(simulation.now + simulation.random_duration(0, 2.2), [&] {
            simulation.cancel(static_cast<std::size_t>(simulation.integer(1, 4)));
        });
    simulation.run(at(250));
    EXPECT_TRUE(simulation.violations.empty()) << simulation.violations.front();
    EXPECT_GT(simulation.learned_from_peers, 0)
        << "the leader learned of no cancellation from another controller";
    for (auto &[id, job] : simulation.jobs)
        EXPECT_TRUE(job.running || job.killed) << id << " ended although its job was not cancelled";
}

// Refusals, outages, restarts, partitions, lost messages and unreachable workers at any time.
TEST_P(cancel_simulation_test, no_cancelled_task_outlives_the_cancel_deadline) {
    cancel_simulation simulation(GetParam() + 1000, 6);
    simulation.at(at(100.5), [&] { simulation.cancel(2); });
    for (auto time = at(101); time < at(400); time += simulation.random_duration(1, 12))
        simulation.at(time, [&] {
            auto other_node = static_cast<std::size_t>(simulation.integer(1, 4));
            switch (simulation.integer(0, 7)) {
            case 0:
                simulation.refused_until = simulation.now + simulation.random_duration(1, 120);
                break;
            case 1:
                simulation.outage_until = simulation.now + simulation.random_duration(1, 90);
                break;
            case 2:
                simulation.crash(other_node, simulation.random_duration(0.1, 8));
                break;
            case 3:
                simulation.nodes[other_node].partitioned = true;
                simulation.at(simulation.now + simulation.random_duration(1, 120),
                              [&simulation, other_node] {
                                  simulation.nodes[other_node].partitioned = false;
                              });
                break;
            case 4:
                simulation.outbound_partition_until =
                    simulation.now + simulation.random_duration(1, 40);
                break;
            case 5: // confirmed by a controller that then restarts with an empty log, while no
                    // controller can read the store
                simulation.refused_until = simulation.now + 100s;
                for (seconds offset{}; offset < 2s; offset += seconds{0.1})
                    simulation.at(simulation.now + offset,
                                  [&simulation, other_node] { simulation.cancel(other_node); });
                simulation.at(simulation.now + seconds{2.1}, [&simulation, other_node] {
                    simulation.crash(other_node, seconds{0.3});
                    simulation.outage_until = simulation.now + 90s;
                });
                break;
            default:
                for (int repetition = 0; repetition < 4; ++repetition)
                    simulation.cancel(static_cast<std::size_t>(simulation.integer(0, 4)));
            }
        });
    simulation.run(at(480));
    EXPECT_TRUE(simulation.violations.empty()) << simulation.violations.front();
    EXPECT_GT(simulation.cancelled, 0);
}

INSTANTIATE_TEST_SUITE_P(seeds, cancel_simulation_test, testing::Range(0u, 40u));
