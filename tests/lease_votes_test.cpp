// Tests of votes with a limited duration and of the leader's authority, including a randomized
// simulation of elections.
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

TEST(lease_votes, restarted_voter_grants_no_vote_during_the_blackout) {
    // It may have voted for a leader right before it was restarted.
    membership::voter own_voter(at(100.0), 3s);
    EXPECT_FALSE(own_voter.grant("x", 3s, at(100.3)));
    EXPECT_FALSE(own_voter.grant("x", 3s, at(102.9)));
    EXPECT_TRUE(own_voter.grant("x", 3s, at(103.1)));
    EXPECT_FALSE(own_voter.grant("y", 3s, at(104.0)));
    own_voter.release("y"); // a late release by another candidacy has no effect
    EXPECT_FALSE(own_voter.grant("y", 3s, at(104.0)));
    EXPECT_TRUE(own_voter.grant("y", 3s, at(106.2)));
}

TEST(lease_votes, lease_or_majority_alone_keeps_the_authority) {
    membership::leader_authority own_authority("n0", 3);
    EXPECT_FALSE(own_authority.is_valid(at(0)));
    own_authority.on_vote_granted("n0", at(0), 3s);
    EXPECT_FALSE(own_authority.is_valid(at(1))) << "one of three is no majority";
    own_authority.on_vote_granted("n1", at(0), 3s);
    EXPECT_TRUE(own_authority.is_valid(at(1)));
    EXPECT_FALSE(own_authority.is_valid(at(3)))
        << "the requester counts the vote as shorter than it was granted";
    own_authority.on_lease_renewed(at(2), 3s);
    EXPECT_TRUE(own_authority.is_valid(at(4.5)));
    EXPECT_FALSE(own_authority.is_valid(at(5)));
}

namespace {

using membership::leader_authority;
using membership::voter;

// Three controllers and a key-value store with a leader lease. Simulates clock drift, lost and late
// messages, restarts shorter than a vote, and outages of the store.
struct election_simulation {
    struct node {
        std::unique_ptr<voter> own_voter;
        std::unique_ptr<leader_authority> own_authority;
        double clock_rate = 1;
        time_point busy_until{};
        bool is_leader = false, is_cut_off = false, store_refuses = false;
        std::string candidacy;
    };

    boost::random::mt19937 random;
    std::vector<node> nodes{3};
    int candidacies = 0, elected = 0;
    std::string key; // candidacy that holds the leader key
    time_point key_until{}, outage_until{};

    explicit election_simulation(unsigned seed) : random(seed) {
        for (auto &node : nodes) {
            node.clock_rate = 1 + uniform(0, c::max_clock_drift);
            restart(node, at(0));
        }
    }

    double uniform(double from, double to) {
        return boost::random::uniform_real_distribution<double>(from, to)(random);
    }
    seconds random_duration(double from, double to) { return seconds{uniform(from, to)}; }

    static time_point clock(const node &node, time_point time) {
        return time_point{time.time_since_epoch() * node.clock_rate};
    }

    static void restart(node &node, time_point time) {
        node.own_voter = std::make_unique<voter>(
            clock(node, time),
            c::leader_vote_duration * (1 + 2 * c::max_clock_drift) + c::authority_margin);
        node.own_authority = std::make_unique<leader_authority>("n", 3);
        node.is_leader = false;
    }

    void step_store(time_point now) {
        if (now >= outage_until && uniform(0, 1) < 0.001) {
            outage_until = now + random_duration(1, 20);
            key_until = std::max(key_until, now) + 3s;
        }
        if (now < outage_until)
            key_until = std::max(key_until, now + c::leader_lease_duration);
        else if (!key.empty() && now > key_until)
            key.clear();
    }

    void inject_faults(node &node, time_point now) {
        if (uniform(0, 1) < 0.0008)
            restart(node, now + random_duration(0, 0.5));
        if (uniform(0, 1) < 0.002)
            node.is_cut_off = !node.is_cut_off;
        if (uniform(0, 1) < 0.002)
            node.store_refuses = !node.store_refuses;
    }

    // Requests the votes of all nodes; each request arrives up to 0.3 s after it was sent.
    void gather_votes(std::size_t candidate, time_point now, seconds duration) {
        auto &node = nodes[candidate];
        const auto local = clock(node, now);
        if (node.own_voter->grant(node.candidacy, duration, local))
            node.own_authority->on_vote_granted(std::to_string(candidate), local, duration);
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            if (index == candidate || node.is_cut_off || nodes[index].is_cut_off ||
                uniform(0, 1) >= 0.9)
                continue;
            if (nodes[index].own_voter->grant(node.candidacy, duration,
                                              clock(nodes[index], now + random_duration(0, 0.3))))
                node.own_authority->on_vote_granted(std::to_string(index), local, duration);
        }
    }

    void step_leader(std::size_t candidate, time_point now, bool store_answers) {
        auto &node = nodes[candidate];
        const auto local = clock(node, now);
        if (!node.own_authority->is_valid(local)) {
            node.is_leader = false;
            node.own_authority->clear();
            return;
        }
        if (uniform(0, 1) >= 0.07)
            return;
        gather_votes(candidate, now, c::leader_vote_duration);
        if (store_answers && key == node.candidacy) {
            key_until = now + c::leader_lease_duration;
            node.own_authority->on_lease_renewed(local, c::leader_lease_duration);
        }
    }

    void campaign(std::size_t candidate, time_point now) {
        auto &node = nodes[candidate];
        node.candidacy = std::to_string(candidate) + "#" + std::to_string(++candidacies);
        node.own_authority->clear();
        gather_votes(candidate, now, c::candidate_vote_duration);
        auto later = now + random_duration(0, 0.4);
        if (node.own_authority->has_majority(clock(node, later))) {
            key = node.candidacy;
            key_until = now + c::leader_lease_duration;
            node.own_authority->on_lease_renewed(clock(node, now), c::leader_lease_duration);
            node.is_leader = true;
            ++elected;
        }
        node.busy_until = now + seconds{0.4};
    }

    void step(time_point now) {
        step_store(now);
        const bool outage = now < outage_until;
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            auto &node = nodes[index];
            inject_faults(node, now);
            const bool store_answers = !outage && !node.store_refuses;
            if (now < node.busy_until)
                continue;
            if (node.is_leader)
                step_leader(index, now, store_answers);
            else if (store_answers && key.empty() && uniform(0, 1) < 0.05)
                campaign(index, now);
        }
    }

    // Returns the candidacies of the leaders that consider their authority valid.
    std::vector<std::string> valid_leaders(time_point now) const {
        std::vector<std::string> valid_leaders;
        for (auto &node : nodes)
            if (node.is_leader && node.own_authority->is_valid(clock(node, now)))
                valid_leaders.push_back(node.candidacy);
        return valid_leaders;
    }
};

} // namespace

// Two controllers must never both consider themselves the leader, whatever fails.
TEST(lease_votes, never_two_leaders_with_valid_authority) {
    int leaders_elected = 0, handovers = 0;
    for (unsigned seed = 1; seed <= 40; ++seed) {
        election_simulation simulation(seed);
        std::string last;
        for (auto now = at(0); now < at(400); now += seconds{0.05}) {
            simulation.step(now);
            auto valid_leaders = simulation.valid_leaders(now);
            ASSERT_LE(valid_leaders.size(), 1u) << "seed " << seed << " at " << in_seconds(now);
            if (valid_leaders.empty() || valid_leaders.front() == last)
                continue;
            handovers += !last.empty();
            last = valid_leaders.front();
        }
        leaders_elected += simulation.elected;
    }
    EXPECT_GT(leaders_elected, 100);
    EXPECT_GT(handovers, 50);
}

// A leader that loses the key-value store and the other controllers, but not its workers, must give
// up leadership when its lease and votes have expired. It must also report itself as not ready, so
// that users go to controllers that know their jobs.
TEST(lease_votes, isolated_leader_loses_authority_in_time) {
    membership::leader_authority own_authority("n0", 7);
    for (auto node : {"n0", "n1", "n2", "n3"})
        own_authority.on_vote_granted(node, at(10), c::leader_vote_duration);
    own_authority.on_lease_renewed(at(10.5), c::leader_lease_duration);
    // From here on it receives no messages; its own vote is no majority.
    own_authority.on_vote_granted("n0", at(12), c::leader_vote_duration);
    EXPECT_TRUE(own_authority.is_valid(at(12.9)));
    EXPECT_TRUE(own_authority.is_valid(at(13.2))) << "by its lease alone";
    EXPECT_FALSE(own_authority.is_valid(at(13.5)));

    EXPECT_TRUE(membership::should_divert_users(5s, true, false))
        << "cut off from the key-value store";
    EXPECT_TRUE(membership::should_divert_users(5s, false, true))
        << "cut off from the store and all controllers";
    EXPECT_FALSE(membership::should_divert_users(60s, false, false))
        << "the store is down for all controllers";
    EXPECT_FALSE(membership::should_divert_users(1s, false, true))
        << "isolated from other controllers, but the store answers";
}
