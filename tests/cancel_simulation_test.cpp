// Cancels that travel between controllers, in a randomized simulation in which the key-value store
// refuses the leader or everybody while users cancel.
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

// A leader, other controllers, workers and the key-value store, by the pages that describe them.
// The leader leads throughout (who leads is tested elsewhere); it may lose the key-value store,
// single controllers and its workers.
struct cancel_simulation {
    static constexpr seconds lease_duration{26.5}, cancel_deadline{51.5}, heartbeat_interval{5.0},
        step{0.05};
    static constexpr time_point long_ago = test::at(-1e9);

    struct job {
        std::optional<time_point> announced_at; // when its user was told of the cancel
        std::uint64_t revision = 0;
        bool known = false; // to the leader
        time_point known_at{}, lease_from{}, next_heartbeat{};
        bool there = true, killed = false;
        time_point killed_at{};
    };
    struct node {
        std::unique_ptr<cancel_log> log;
        int run = 0;
        bool up = true, loaded = false, cut = false;
        time_point back_at{}, fresh_at = long_ago, next_read{};
        std::uint64_t revision = 0;
        cancel_log_reader reader; // the leader's, of this one
        time_point busy_until{}, next_ask{};
    };

    boost::random::mt19937 random;
    std::vector<node> nodes{5}; // the first leads
    std::map<std::string, job> jobs;
    std::multimap<time_point, std::function<void()>> events;
    std::uint64_t revision = 10;
    time_point now = test::at(100);
    time_point outage_until{}, refused_until{}, outbound_partition_until{}, cloud_down_until{};
    std::vector<std::string> violations;
    int cancelled = 0, by_name = 0;
    std::size_t kept_entries;

    // kept: entries in each log. A short one gives up what is still needed.
    cancel_simulation(unsigned seed, std::size_t kept) : random(seed), kept_entries(kept) {
        for (auto &n : nodes)
            start(n);
        for (int i = 0; i < 60; ++i)
            jobs[fmt::format("job-{:03}", i)].lease_from = now;
    }

    double real(double a, double b) {
        return boost::random::uniform_real_distribution<double>(a, b)(random);
    }
    seconds between(double a, double b) { return seconds{real(a, b)}; }
    int integer(int a, int b) { return boost::random::uniform_int_distribution<int>(a, b)(random); }
    void at(time_point t, std::function<void()> f) { events.emplace(t, std::move(f)); }
    bool served(std::size_t i) const {
        return now >= outage_until && (i != 0 || now >= refused_until);
    }

    void start(node &n) {
        auto i = static_cast<std::size_t>(&n - nodes.data());
        n.log = std::make_unique<cancel_log>(fmt::format("{}#{}", i, ++n.run), kept_entries, 2);
        n.up = true;
        n.loaded = false;
        n.fresh_at = long_ago;
        n.revision = 0;
    }

    // A read of all records: what is durable now is known.
    void read(std::size_t i) {
        auto &n = nodes[i];
        n.next_read = now + between(0.1, 2.0);
        if (!served(i))
            return;
        for (auto &[id, j] : jobs)
            if (j.revision > n.revision) {
                n.log->append({id, j.revision, {}});
                if (i == 0)
                    learn(id);
            }
        n.revision = revision;
        n.fresh_at = now;
        n.loaded = true;
    }

    void learn(const std::string &id) {
        auto &j = jobs.at(id);
        if (!j.known)
            j.known_at = now;
        j.known = true;
    }

    // A user cancels at a controller: durable, noted, told.
    void cancel(std::size_t i) {
        if (!served(i) || !nodes[i].up || !nodes[i].loaded)
            return;
        auto id = fmt::format("job-{:03}", integer(0, 59));
        auto &j = jobs.at(id);
        if (j.revision)
            return;
        j.revision = ++revision;
        auto run = nodes[i].run;
        at(now + between(0.01, 0.8), [this, i, id, run] {
            if (!nodes[i].up || nodes[i].run != run)
                return; // its user was told nothing
            nodes[i].log->append({id, jobs.at(id).revision, {}});
            if (i == 0)
                learn(id);
            at(now + seconds{0.001}, [this, id] { jobs.at(id).announced_at = now; });
            ++cancelled;
        });
    }

    void ask(std::size_t i) {
        auto &n = nodes[i];
        n.next_ask = now + constants::leader_renew_interval;
        if (now < n.busy_until)
            return;
        n.busy_until = now + constants::peer_timeout;
        if (!n.up || n.cut || real(0, 1) < 0.03)
            return;
        auto q = n.reader.next_request(nodes[0].revision);
        auto sent = now;
        auto age_of_answer = between(0.01, 0.3);
        at(now + between(0.01, 0.25), [this, i, q, sent, age_of_answer] {
            auto &n = nodes[i];
            if (!n.up || n.cut)
                return;
            n.log->drop_through(q.revision);
            auto a = n.log->respond(q);
            a.records_loaded = n.loaded;
            a.read_age = now - n.fresh_at;
            if (real(0, 1) < 0.03)
                return; // the answer is lost
            at(now + age_of_answer, [this, i, q, a, sent] {
                auto &n = nodes[i];
                n.busy_until = {};
                for (auto &e : n.reader.on_response(q, a, sent)) {
                    if (!jobs.at(e.job).known)
                        ++by_name;
                    learn(e.job);
                    nodes[0].log->append(e);
                }
            });
        });
    }

    time_point known_until() const {
        std::vector<const cancel_log_reader *> readers;
        for (std::size_t i = 1; i < nodes.size(); ++i)
            readers.push_back(&nodes[i].reader);
        return membership::cancels_complete_until(now, nodes[0].fresh_at, readers);
    }

    void work(const std::string &id, job &j) {
        if (!j.there)
            return;
        if (now - j.lease_from > lease_duration) {
            j.there = false;
            return;
        }
        if (now >= j.next_heartbeat) {
            j.next_heartbeat = now + real(0.75, 1.25) * heartbeat_interval;
            if (now >= outbound_partition_until &&
                membership::may_renew_lease(now, known_until(), lease_duration, cancel_deadline)) {
                j.lease_from = now;
                if (j.known) {
                    j.there = false;
                    j.killed = true;
                }
            }
        }
        // Deleted where the kill can't be shown to have come.
        if (j.known && now - j.known_at > constants::cancel_delete_share * cancel_deadline &&
            now >= cloud_down_until)
            j.there = false, j.killed = true;
        if (j.announced_at && j.there && now > *j.announced_at + cancel_deadline)
            violations.push_back(fmt::format("{:.1f}: {} still there, told at {:.1f}, {}",
                                             in_seconds(now), id, in_seconds(*j.announced_at),
                                             j.known ? "known" : "unknown"));
    }

    void run(time_point until) {
        for (; now < until && violations.empty(); now += step) {
            while (!events.empty() && events.begin()->first <= now) {
                auto f = std::move(events.begin()->second);
                events.erase(events.begin());
                f();
            }
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                auto &n = nodes[i];
                if (!n.up && now >= n.back_at)
                    start(n);
                if (n.up && now >= n.next_read)
                    read(i);
                if (i > 0 && now >= n.next_ask)
                    ask(i);
            }
            for (auto &[id, j] : jobs)
                work(id, j);
        }
    }

    void crash(std::size_t i, seconds length) {
        nodes[i].up = false;
        nodes[i].back_at = now + length;
    }
};

class cancel_worlds : public testing::TestWithParam<unsigned> {};

} // namespace

// The gap: the key-value store refuses the leader alone, others confirm cancels, then it is gone
// for all and for longer than cancel_s. Cancelled tasks go in time, and nothing else does.
TEST_P(cancel_worlds, the_gap_costs_only_what_was_cancelled) {
    cancel_simulation w(GetParam(), 40);
    w.run(at(110));
    w.refused_until = at(124);
    w.at(w.now + 2s, [&] { w.outage_until = w.now + seconds{63.5}; });
    for (int k = 0; k < 12; ++k)
        w.at(w.now + w.between(0, 2.2),
             [&] { w.cancel(static_cast<std::size_t>(w.integer(1, 4))); });
    w.run(at(250));
    EXPECT_TRUE(w.violations.empty()) << w.violations.front();
    EXPECT_GT(w.by_name, 0) << "no cancel had to travel between controllers";
    for (auto &[id, j] : w.jobs)
        EXPECT_TRUE(j.there || j.killed) << id << " was lost, though nobody cancelled it";
}

// Anything at any time: refusals, outages, restarts, cuts, lost messages, workers out of reach.
TEST_P(cancel_worlds, no_cancelled_task_outlives_its_time) {
    cancel_simulation w(GetParam() + 1000, 6);
    w.at(at(100.5), [&] { w.cancel(2); });
    for (auto t = at(101); t < at(400); t += w.between(1, 12))
        w.at(t, [&] {
            auto other = static_cast<std::size_t>(w.integer(1, 4));
            switch (w.integer(0, 7)) {
            case 0:
                w.refused_until = w.now + w.between(1, 120);
                break;
            case 1:
                w.outage_until = w.now + w.between(1, 90);
                break;
            case 2:
                w.crash(other, w.between(0.1, 8));
                break;
            case 3:
                w.nodes[other].cut = true;
                w.at(w.now + w.between(1, 120), [&w, other] { w.nodes[other].cut = false; });
                break;
            case 4:
                w.outbound_partition_until = w.now + w.between(1, 40);
                break;
            case 5: // told, and gone with all it knew; then nobody can read
                w.refused_until = w.now + 100s;
                for (seconds s{}; s < 2s; s += seconds{0.1})
                    w.at(w.now + s, [&w, other] { w.cancel(other); });
                w.at(w.now + seconds{2.1}, [&w, other] {
                    w.crash(other, seconds{0.3});
                    w.outage_until = w.now + 90s;
                });
                break;
            default:
                for (int k = 0; k < 4; ++k)
                    w.cancel(static_cast<std::size_t>(w.integer(0, 4)));
            }
        });
    w.run(at(480));
    EXPECT_TRUE(w.violations.empty()) << w.violations.front();
    EXPECT_GT(w.cancelled, 0);
}

INSTANTIATE_TEST_SUITE_P(seeds, cancel_worlds, testing::Range(0u, 40u));
