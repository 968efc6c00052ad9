// Lease votes and the authority of a leader, also in a randomized simulation of elections.
#include "constants.hpp"
#include "membership/lease_votes.hpp"
#include "test_time.hpp"
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace std::chrono_literals;
namespace c = spindlecroft::constants;
using test::at;
using test::in_seconds;

TEST(promises, a_restarted_voter_promises_nothing_at_first) {
    // It may have promised to a leader a moment before it ended and came back at once.
    membership::vote_ledger book(at(100.0), 3s);
    EXPECT_FALSE(book.grant("x", 3s, at(100.3)));
    EXPECT_FALSE(book.grant("x", 3s, at(102.9)));
    EXPECT_TRUE(book.grant("x", 3s, at(103.1)));
    EXPECT_FALSE(book.grant("y", 3s, at(104.0)));
    book.release("y"); // a late release of somebody else's candidacy frees nothing
    EXPECT_FALSE(book.grant("y", 3s, at(104.0)));
    EXPECT_TRUE(book.grant("y", 3s, at(106.2)));
}

TEST(promises, either_entitlement_keeps_a_leader) {
    membership::authority a("n0", 3);
    EXPECT_FALSE(a.valid(at(0)));
    a.vote_granted("n0", at(0), 3s);
    EXPECT_FALSE(a.valid(at(1))) << "one of three is no majority";
    a.vote_granted("n1", at(0), 3s);
    EXPECT_TRUE(a.valid(at(1)));
    EXPECT_FALSE(a.valid(at(3))) << "counted shorter than it was given";
    a.lease_renewed(at(2), 3s);
    EXPECT_TRUE(a.valid(at(4.5)));
    EXPECT_FALSE(a.valid(at(5)));
}

// Three controllers, a key-value store with a lease, clocks that drift, lost and late messages,
// restarts within a moment, outages: never two that hold themselves valid.
TEST(promises, never_two_valid_leaders) {
    using membership::authority;
    using membership::vote_ledger;
    int led = 0, handovers = 0;
    for (unsigned seed = 1; seed <= 40; ++seed) {
        boost::random::mt19937 random(seed);
        auto real = [&](double a, double b) {
            return boost::random::uniform_real_distribution<double>(a, b)(random);
        };
        auto between = [&](double a, double b) { return seconds{real(a, b)}; };
        struct node {
            std::unique_ptr<vote_ledger> book;
            std::unique_ptr<authority> own;
            double rate = 1;
            time_point busy_until{};
            bool leader = false, cut = false, blind = false;
            std::string as;
        };
        std::vector<node> nodes(3);
        int stands = 0;
        std::string key; // candidacy that holds the leader key
        time_point key_until{}, outage_until{};
        auto clock = [&](node &n, time_point t) {
            return time_point{t.time_since_epoch() * n.rate};
        };
        auto restart = [&](node &n, time_point t) {
            n.book = std::make_unique<vote_ledger>(
                clock(n, t), c::vote_length * (1 + 2 * c::clock_drift) + c::authority_margin);
            n.own = std::make_unique<authority>("n", 3);
            n.leader = false;
        };
        for (auto &n : nodes) {
            n.rate = 1 + real(0, c::clock_drift);
            restart(n, at(0));
        }
        std::string last;
        for (auto t = at(0); t < at(400); t += seconds{0.05}) {
            if (t >= outage_until && real(0, 1) < 0.001)
                outage_until = t + between(1, 20), key_until = std::max(key_until, t) + 3s;
            bool outage = t < outage_until;
            if (outage)
                key_until = std::max(key_until, t + c::leader_lease);
            else if (!key.empty() && t > key_until)
                key.clear();
            int valid = 0;
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                auto &n = nodes[i];
                if (real(0, 1) < 0.0008)
                    restart(n, t + between(0, 0.5));
                if (real(0, 1) < 0.002)
                    n.cut = !n.cut;
                if (real(0, 1) < 0.002)
                    n.blind = !n.blind;
                bool state = !outage && !n.blind;
                if (t < n.busy_until)
                    continue;
                auto mine = clock(n, t);
                auto gather = [&](seconds length) {
                    if (n.book->grant(n.as, length, mine))
                        n.own->vote_granted(std::to_string(i), mine, length);
                    for (std::size_t k = 0; k < nodes.size(); ++k)
                        if (k != i && !n.cut && !nodes[k].cut && real(0, 1) < 0.9)
                            // arrives a little later than it was sent
                            if (nodes[k].book->grant(n.as, length,
                                                     clock(nodes[k], t + between(0, 0.3))))
                                n.own->vote_granted(std::to_string(k), mine, length);
                };
                if (n.leader) {
                    if (!n.own->valid(mine)) {
                        n.leader = false;
                        n.own->clear();
                        continue;
                    }
                    if (real(0, 1) < 0.07) {
                        gather(c::vote_length);
                        if (state && key == n.as) {
                            key_until = t + c::leader_lease;
                            n.own->lease_renewed(mine, c::leader_lease);
                        }
                    }
                } else if (state && key.empty() && real(0, 1) < 0.05) {
                    n.as = std::to_string(i) + "#" + std::to_string(++stands);
                    n.own->clear();
                    gather(c::candidacy);
                    auto later = t + between(0, 0.4);
                    if (n.own->majority(clock(n, later))) {
                        key = n.as;
                        key_until = t + c::leader_lease;
                        n.own->lease_renewed(mine, c::leader_lease);
                        n.leader = true;
                        ++led;
                    }
                    n.busy_until = t + seconds{0.4};
                }
            }
            std::string who;
            for (auto &n : nodes)
                if (n.leader && n.own->valid(clock(n, t))) {
                    ++valid;
                    who = n.as;
                }
            ASSERT_LE(valid, 1) << "seed " << seed << " at " << in_seconds(t);
            if (!who.empty() && who != last) {
                if (!last.empty())
                    ++handovers;
                last = who;
            }
        }
    }
    EXPECT_GT(led, 100);
    EXPECT_GT(handovers, 50);
}

// A controller that loses the key-value store and the others, but not its workers: as leader it
// lapses with its lease and votes, and its users are sent elsewhere, where their jobs are known.
TEST(nodes, on_its_own_it_gives_up_in_time) {
    membership::authority a("n0", 7);
    for (auto n : {"n0", "n1", "n2", "n3"})
        a.vote_granted(n, at(10), c::vote_length);
    a.lease_renewed(at(10.5), c::leader_lease);
    // From here on nothing is heard; its own vote to itself is no majority.
    a.vote_granted("n0", at(12), c::vote_length);
    EXPECT_TRUE(a.valid(at(12.9)));
    EXPECT_TRUE(a.valid(at(13.2))) << "by its lease alone";
    EXPECT_FALSE(a.valid(at(13.5)));

    EXPECT_TRUE(membership::better_served_elsewhere(5s, true, false))
        << "cut from the state service";
    EXPECT_TRUE(membership::better_served_elsewhere(5s, false, true)) << "cut from all but workers";
    EXPECT_FALSE(membership::better_served_elsewhere(60s, false, false)) << "an outage for all";
    EXPECT_FALSE(membership::better_served_elsewhere(1s, false, true)) << "refused by peers alone";
}
