// Lease votes and the authority of a leader, also in a randomized simulation of elections.
#include "constants.hpp"
#include "membership/lease_votes.hpp"
#include "test_time.hpp"
#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <vector>

using namespace spindlecroft;
using namespace std::chrono_literals;
namespace c = spindlecroft::constants;
using test::at;
using test::in_seconds;

TEST(promises, a_restarted_voter_promises_nothing_at_first) {
    // It may have promised to a leader a moment before it ended and came back at once.
    membership::voter book(at(100.0), 3s);
    EXPECT_FALSE(book.grant("x", 3s, at(100.3)));
    EXPECT_FALSE(book.grant("x", 3s, at(102.9)));
    EXPECT_TRUE(book.grant("x", 3s, at(103.1)));
    EXPECT_FALSE(book.grant("y", 3s, at(104.0)));
    book.release("y"); // a late release of somebody else's candidacy frees nothing
    EXPECT_FALSE(book.grant("y", 3s, at(104.0)));
    EXPECT_TRUE(book.grant("y", 3s, at(106.2)));
}

TEST(promises, either_entitlement_keeps_a_leader) {
    membership::leader_authority a("n0", 3);
    EXPECT_FALSE(a.is_valid(at(0)));
    a.on_vote_granted("n0", at(0), 3s);
    EXPECT_FALSE(a.is_valid(at(1))) << "one of three is no majority";
    a.on_vote_granted("n1", at(0), 3s);
    EXPECT_TRUE(a.is_valid(at(1)));
    EXPECT_FALSE(a.is_valid(at(3))) << "counted shorter than it was given";
    a.on_lease_renewed(at(2), 3s);
    EXPECT_TRUE(a.is_valid(at(4.5)));
    EXPECT_FALSE(a.is_valid(at(5)));
}

namespace {

using membership::leader_authority;
using membership::voter;

// Three controllers, a key-value store with a lease, clocks that drift, lost and late messages,
// restarts within a moment, outages.
struct election_simulation {
    struct node {
        std::unique_ptr<voter> votes;
        std::unique_ptr<leader_authority> own;
        double clock_rate = 1;
        time_point busy_until{};
        bool leader = false, cut = false, store_refuses = false;
        std::string candidacy;
    };

    boost::random::mt19937 random;
    std::vector<node> nodes{3};
    int candidacies = 0, elected = 0;
    std::string key; // candidacy that holds the leader key
    time_point key_until{}, outage_until{};

    explicit election_simulation(unsigned seed) : random(seed) {
        for (auto &n : nodes) {
            n.clock_rate = 1 + real(0, c::max_clock_drift);
            restart(n, at(0));
        }
    }

    double real(double from, double to) {
        return boost::random::uniform_real_distribution<double>(from, to)(random);
    }
    seconds between(double from, double to) { return seconds{real(from, to)}; }

    static time_point clock(const node &n, time_point time) {
        return time_point{time.time_since_epoch() * n.clock_rate};
    }

    static void restart(node &n, time_point time) {
        n.votes = std::make_unique<voter>(clock(n, time),
                                          c::leader_vote_duration * (1 + 2 * c::max_clock_drift) +
                                              c::authority_margin);
        n.own = std::make_unique<leader_authority>("n", 3);
        n.leader = false;
    }

    void step_store(time_point now) {
        if (now >= outage_until && real(0, 1) < 0.001) {
            outage_until = now + between(1, 20);
            key_until = std::max(key_until, now) + 3s;
        }
        if (now < outage_until)
            key_until = std::max(key_until, now + c::leader_lease_duration);
        else if (!key.empty() && now > key_until)
            key.clear();
    }

    void inject_faults(node &n, time_point now) {
        if (real(0, 1) < 0.0008)
            restart(n, now + between(0, 0.5));
        if (real(0, 1) < 0.002)
            n.cut = !n.cut;
        if (real(0, 1) < 0.002)
            n.store_refuses = !n.store_refuses;
    }

    // Asks all nodes for their votes; each question arrives a little later than it was sent.
    void gather_votes(std::size_t index, time_point now, seconds length) {
        auto &n = nodes[index];
        const auto local = clock(n, now);
        if (n.votes->grant(n.candidacy, length, local))
            n.own->on_vote_granted(std::to_string(index), local, length);
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (i == index || n.cut || nodes[i].cut || real(0, 1) >= 0.9)
                continue;
            if (nodes[i].votes->grant(n.candidacy, length, clock(nodes[i], now + between(0, 0.3))))
                n.own->on_vote_granted(std::to_string(i), local, length);
        }
    }

    void step_leader(std::size_t index, time_point now, bool store_answers) {
        auto &n = nodes[index];
        const auto local = clock(n, now);
        if (!n.own->is_valid(local)) {
            n.leader = false;
            n.own->clear();
            return;
        }
        if (real(0, 1) >= 0.07)
            return;
        gather_votes(index, now, c::leader_vote_duration);
        if (store_answers && key == n.candidacy) {
            key_until = now + c::leader_lease_duration;
            n.own->on_lease_renewed(local, c::leader_lease_duration);
        }
    }

    void stand_for_election(std::size_t index, time_point now) {
        auto &n = nodes[index];
        n.candidacy = std::to_string(index) + "#" + std::to_string(++candidacies);
        n.own->clear();
        gather_votes(index, now, c::candidate_vote_duration);
        auto later = now + between(0, 0.4);
        if (n.own->has_majority(clock(n, later))) {
            key = n.candidacy;
            key_until = now + c::leader_lease_duration;
            n.own->on_lease_renewed(clock(n, now), c::leader_lease_duration);
            n.leader = true;
            ++elected;
        }
        n.busy_until = now + seconds{0.4};
    }

    void step(time_point now) {
        step_store(now);
        const bool outage = now < outage_until;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            auto &n = nodes[i];
            inject_faults(n, now);
            const bool store_answers = !outage && !n.store_refuses;
            if (now < n.busy_until)
                continue;
            if (n.leader)
                step_leader(i, now, store_answers);
            else if (store_answers && key.empty() && real(0, 1) < 0.05)
                stand_for_election(i, now);
        }
    }

    // Candidacies of those who hold themselves entitled to lead.
    std::vector<std::string> valid_leaders(time_point now) const {
        std::vector<std::string> valid;
        for (auto &n : nodes)
            if (n.leader && n.own->is_valid(clock(n, now)))
                valid.push_back(n.candidacy);
        return valid;
    }
};

} // namespace

// Never two that hold themselves valid, whatever fails.
TEST(promises, never_two_valid_leaders) {
    int led = 0, handovers = 0;
    for (unsigned seed = 1; seed <= 40; ++seed) {
        election_simulation simulation(seed);
        std::string last;
        for (auto now = at(0); now < at(400); now += seconds{0.05}) {
            simulation.step(now);
            auto valid = simulation.valid_leaders(now);
            ASSERT_LE(valid.size(), 1u) << "seed " << seed << " at " << in_seconds(now);
            if (valid.empty() || valid.front() == last)
                continue;
            handovers += !last.empty();
            last = valid.front();
        }
        led += simulation.elected;
    }
    EXPECT_GT(led, 100);
    EXPECT_GT(handovers, 50);
}

// A controller that loses the key-value store and the others, but not its workers: as leader it
// lapses with its lease and votes, and its users are sent elsewhere, where their jobs are known.
TEST(nodes, on_its_own_it_gives_up_in_time) {
    membership::leader_authority a("n0", 7);
    for (auto n : {"n0", "n1", "n2", "n3"})
        a.on_vote_granted(n, at(10), c::leader_vote_duration);
    a.on_lease_renewed(at(10.5), c::leader_lease_duration);
    // From here on nothing is heard; its own vote to itself is no majority.
    a.on_vote_granted("n0", at(12), c::leader_vote_duration);
    EXPECT_TRUE(a.is_valid(at(12.9)));
    EXPECT_TRUE(a.is_valid(at(13.2))) << "by its lease alone";
    EXPECT_FALSE(a.is_valid(at(13.5)));

    EXPECT_TRUE(membership::should_divert_users(5s, true, false)) << "cut from the state service";
    EXPECT_TRUE(membership::should_divert_users(5s, false, true)) << "cut from all but workers";
    EXPECT_FALSE(membership::should_divert_users(60s, false, false)) << "an outage for all";
    EXPECT_FALSE(membership::should_divert_users(1s, false, true)) << "refused by peers alone";
}
