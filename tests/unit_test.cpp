#include "constants.hpp"
#include "control/scheduler.hpp"
#include "membership/lease_votes.hpp"
#include "net/http.hpp"
#include "settings/settings.hpp"
#include "store/committer.hpp"
#include "trace_runner.hpp"
#include "wire/codec.hpp"
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace std::chrono_literals;
namespace c = spindlecroft::constants;
using test::at;
using test::in_seconds;

// --- wire ---

static const std::string good_job =
    R"({"uid":"job-1","lot":"l","crew":"red","shape":"array","rank":"urgent","threads":3,"cores":2.0,)"
    R"("memGb":4,"bobbin":"img","sizeGb":1.5,"samePlace":false,"scatter":true,"loaners":true,)"
    R"("reckonS":10.0,"knotS":0.0,"tieS":0.0,"dueS":null,"new-field":[1]})";

static std::string with(std::string what, const std::string &from, const std::string &to) {
    auto at = what.find(from);
    return what.replace(at, from.size(), to);
}

TEST(wire, submission_survives_the_record) {
    auto s = wire::parse_submission(good_job);
    EXPECT_EQ(s.priority, priority_class::high);
    EXPECT_FALSE(s.deadline);
    EXPECT_TRUE(s.spread);
    wire::job_record r;
    r.cancelled = true;
    r.accepted_at = test::wall_at(12.5);
    r.spec = s;
    auto back = wire::parse_job_record(wire::encode_job_record(r));
    EXPECT_TRUE(back.cancelled);
    EXPECT_EQ(wire::encode_spec(back.spec), wire::encode_spec(s));
}

TEST(wire, bad_submissions_name_the_field) {
    struct {
        std::string from, to, field;
    } cases[] = {
        {"\"uid\":\"job-1\"", "\"uid\":\"x\"", "uid"},
        {"\"threads\":3", "\"threads\":0", "threads"},
        {"\"threads\":3", "\"threads\":100001", "threads"},
        {"\"threads\":3", "\"threads\":1.5", "threads"},
        {"\"cores\":2.0", "\"cores\":-1", "cores"},
        {"\"cores\":2.0", "\"cores\":\"2\"", "cores"},
        {"\"shape\":\"array\"", "\"shape\":\"ring\"", "shape"},
        {"\"rank\":\"urgent\"", "\"rank\":\"high\"", "rank"},
        {"\"memGb\":4,", "", "memGb"},
        {"\"bobbin\":\"img\"", "\"bobbin\":null", "bobbin"},
    };
    for (auto &x : cases) {
        try {
            wire::parse_submission(with(good_job, x.from, x.to));
            ADD_FAILURE() << "accepted: " << x.to;
        } catch (const wire::malformed_message &e) {
            EXPECT_EQ(std::string(e.what()).rfind(x.field + ":", 0), 0u) << e.what();
        }
    }
    EXPECT_THROW(wire::parse_submission("[]"), wire::malformed_message);
    EXPECT_THROW(wire::parse_submission("{"), wire::malformed_message);
}

TEST(wire, done_parts_take_no_more_bytes_than_counted) {
    std::vector<wire::done_part> parts;
    std::size_t counted = 2;
    for (std::uint32_t part = 0; part < 12; ++part) {
        parts.push_back({"job-000412", part, std::vector<bool>(part == 3 ? 4096 : 4 * (part + 1))});
        for (std::size_t i = 0; i < parts.back().bits.size(); i += 7)
            parts.back().bits[i] = true;
        counted += wire::done_bytes(parts.back().job, parts.back().bits.size());
    }
    auto text = wire::encode_done(parts);
    EXPECT_LE(text.size(), counted);
    EXPECT_LE(wire::done_bytes("job-000412", 4096), 1100u) << "fits the smallest value limit";
    auto got = wire::parse_done(text);
    std::sort(got.begin(), got.end(), [](auto &x, auto &y) { return x.part < y.part; });
    EXPECT_EQ(got, parts);
    for (auto bad :
         {"[]", R"({"job-1":"0"})", R"({"job-1/x":"0"})", R"({"job-1/0":"g"})", R"({"job-1/0":1})"})
        EXPECT_THROW(wire::parse_done(bad), wire::malformed_message) << bad;
}

TEST(wire, placements_take_no_more_bytes_than_counted) {
    std::vector<wire::placed_task> tasks;
    std::size_t counted = 2;
    for (std::uint32_t i = 0; i < 90; ++i) {
        tasks.push_back({i < 40 ? "job-1" : "job-000002", i * 1000, ~0ull >> (i % 60),
                         std::string(1 + i % 24, 'i')});
        counted += wire::placed_bytes(tasks.back());
    }
    auto text = wire::encode_placed(tasks);
    EXPECT_LE(text.size(), counted);
    EXPECT_EQ(wire::parse_placed(text), tasks);
}

TEST(wire, peer_messages_survive_and_garbage_is_refused) {
    wire::peer_message m;
    m.numbers["a"] = ~0ull;
    m.texts["b"] = "x";
    auto back = wire::parse_peer(wire::encode_peer(m));
    EXPECT_EQ(back.number("a"), ~0ull);
    EXPECT_EQ(back.text("b"), "x");
    EXPECT_THROW(wire::parse_peer("{}"), wire::malformed_message);
    EXPECT_THROW(wire::parse_peer(""), wire::malformed_message);
}

TEST(wire, report_states_and_causes) {
    auto r = wire::parse_heartbeat(
        R"({"spindle":"i-1","address":"1.2.3.4:5","frame":"f","croft":"a","loaners":true,"shift":2,)"
        R"("tally":7,"warrant":3,"recallS":5.5,"threads":[{"thread":"job-1/12","try":4,)"
        R"("stage":"exited","cause":"halted","kept":true}]})");
    ASSERT_EQ(r.tasks.size(), 1u);
    EXPECT_EQ(r.tasks[0].index, 12u);
    EXPECT_EQ(r.tasks[0].cause, exit_cause::stopped);
    EXPECT_TRUE(r.tasks[0].checkpointed);
    EXPECT_DOUBLE_EQ(r.reclaim_notice->count(), 5.5);
    EXPECT_TRUE(r.newer_than(1, 99));
    EXPECT_FALSE(r.newer_than(2, 7));
}

// --- settings ---

static const std::string good_settings = R"(
member = "n0"
location = "a"
api_addr = "10.0.0.1:8080"
back = "10.0.0.1:8081"
unknown = 1
[[members]]
member = "n1"
location = "b"
addr = "10.0.0.2:8081"
[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[cluster]
time_bound_ms = 25.0
[[cluster.teams]]
name = "red"
cpus = 4.0
cpus_max = 8.0
[cluster.workers]
report_s = 3.0
lease_s = 44.0
cancel_s = 74.0
[cluster.state]
rps = 200.0
write_rps = 20.0
value_kb = 4.0
txn_ops = 8
[cluster.cloud]
rps = 10.0
list_lag_s = 10.0
[cluster.machine_limits]
core_share = 0.2
ram_mb = 200.0
max_connections = 5000
)";

TEST(settings, are_checked_and_errors_name_the_key) {
    auto s = settings::parse(good_settings, "f");
    EXPECT_EQ(s.members.size(), 1u);
    EXPECT_EQ(s.txn_ops, 8);
    struct {
        std::string from, to, key;
    } cases[] = {
        {"lease_s = 44.0", "", "cluster.workers.lease_s"},
        {"lease_s = 44.0", "lease_s = \"x\"", "cluster.workers.lease_s"},
        {"rps = 200.0", "rps = -1.0", "cluster.state.rps"},
        {"10.2.0.1:2379", "state:2379", "services.state"},
        {"member = \"n0\"", "member = 3", "member"},
        {"cpus = 4.0", "cpus = 9.0", "cluster.teams.cpus"},
        {"member = \"n1\"", "member = \"n0\"", "members.member"},
    };
    for (auto &x : cases) {
        try {
            settings::parse(with(good_settings, x.from, x.to), "f");
            ADD_FAILURE() << "accepted: " << x.to;
        } catch (const settings::settings_error &e) {
            EXPECT_EQ(std::string(e.what()).rfind(x.key + ":", 0), 0u) << e.what();
        }
    }
}

TEST(settings, coming_limits_are_kept_from_the_start) {
    auto s = settings::parse(good_settings, "f");
    EXPECT_EQ(s.next_state_write_rps, std::nullopt);
    auto next = [](const std::string &fields) {
        return settings::parse(with(good_settings, "[cluster.cloud]",
                                    "[cluster.state.next]\n" + fields + "\n[cluster.cloud]"),
                               "f");
    };
    s = next("write_rps = 15.0\nvalue_kb = 2.0\ntxn_ops = 4");
    EXPECT_EQ(s.value_kb, 2);
    EXPECT_EQ(s.txn_ops, 4);
    EXPECT_EQ(s.state_write_rps, 20);
    EXPECT_EQ(s.next_state_write_rps, 15);
    s = next("write_rps = 30.0\nvalue_kb = 64.0");
    EXPECT_EQ(s.value_kb, 4) << "the smaller of both";
    EXPECT_EQ(s.txn_ops, 8);
    EXPECT_EQ(s.next_state_write_rps, std::nullopt);
    for (auto *field : {"value_kb = 1.0", "txn_ops = 0", "write_rps = \"x\""})
        try {
            next(field);
            ADD_FAILURE() << "accepted: " << field;
        } catch (const settings::settings_error &e) {
            EXPECT_TRUE(std::string(e.what()).starts_with("cluster.state.next.")) << e.what();
        }
}

TEST(settings, operators_file_is_strict) {
    auto o = settings::parse_operator("(spindlecroft (spare-replicas 3) (spot no))", "f");
    EXPECT_EQ(o.spare_replicas, 3);
    EXPECT_FALSE(o.spot);
    for (auto *bad : {"(spindlecroft (spare 3))", "(other)", "(spindlecroft (spot maybe))",
                      "(spindlecroft (spare-replicas x))", "(spindlecroft (spot yes) (spot no))"})
        EXPECT_THROW(settings::parse_operator(bad, "f"), settings::settings_error) << bad;
}

// --- membership ---

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

// --- store ---

TEST(budget, leaves_a_reserve_to_the_more_urgent) {
    store::budget b(10);
    time_point now{};
    int rest = 0, accept = 0;
    while (b.take(1, store::request_priority::background, now))
        ++rest;
    while (b.take(1, store::request_priority::accept, now))
        ++accept;
    EXPECT_LT(rest, 8);
    EXPECT_GT(accept, 0);
    EXPECT_FALSE(b.take(1, store::request_priority::accept, now));
    EXPECT_TRUE(b.take(1, store::request_priority::accept, now + 1s));
}

// Single submissions came as fast as the budget refilled, and a transaction of eight changes, less
// urgent, never found its whole size at once: no task was started for a minute.
TEST(budget, starves_no_large_transaction) {
    store::budget b(14);
    int large = 0;
    double taken = 0;
    for (int ms = 0; ms < 60'000; ms += 20) {
        auto now = at(ms / 1000.0);
        if (ms % 80 == 0 && b.take(1, store::request_priority::accept, now))
            taken += 1;
        if (b.take(8, store::request_priority::placement, now)) {
            taken += 8;
            ++large;
        }
    }
    EXPECT_GT(large, 3);
    EXPECT_LT(taken, 14 * 61 + 8) << "the rate holds in the long run";
}

// At the start of a large day submissions filled the line for half a minute, and no machine was
// rented meanwhile.
TEST(budget, the_more_urgent_do_not_pass_who_waited_long) {
    store::write_queue line;
    auto rental_request = line.enter(at(10.0)), submission = line.enter(at(10.2));
    EXPECT_TRUE(line.may_go(submission, store::request_priority::accept, at(10.3)));
    EXPECT_FALSE(line.may_go(submission, store::request_priority::accept, at(10.5)));
    EXPECT_TRUE(line.may_go(submission, store::request_priority::cancel, at(10.5)))
        << "a cancel waits for none";
    EXPECT_TRUE(line.may_go(rental_request, store::request_priority::placement, at(10.5)));
    EXPECT_EQ(line.priority_of(rental_request, store::request_priority::placement, at(10.3)),
              store::request_priority::placement);
    EXPECT_EQ(line.priority_of(rental_request, store::request_priority::placement, at(10.5)),
              store::request_priority::cancel);
    line.leave(rental_request);
    EXPECT_TRUE(line.may_go(submission, store::request_priority::accept, at(10.5)));
}

TEST(group_commit, leaves_out_what_nobody_waits_for) {
    std::deque<store::write_unit> waiting(2);
    waiting[0].priority = store::request_priority::background;
    waiting[0].ops = {{"a", "", 0}};
    waiting[1].priority = store::request_priority::placement;
    waiting[1].ops = {{"b", "1", 0}};
    EXPECT_EQ(store::choose_units(waiting, 8, 10000), (std::vector<std::size_t>{1}));
    waiting.pop_back();
    EXPECT_EQ(store::choose_units(waiting, 8, 10000), (std::vector<std::size_t>{0}));
}

TEST(group_commit, keeps_limits_order_of_urgency_and_apart_what_touches_one_key) {
    std::deque<store::write_unit> waiting;
    auto add = [&](store::request_priority u, std::vector<std::string> keys) {
        store::write_unit x;
        x.priority = u;
        for (auto &k : keys)
            x.ops.push_back({k, "1", 0});
        waiting.push_back(std::move(x));
    };
    add(store::request_priority::background, {"a", "b"});
    add(store::request_priority::cancel, {"c"});
    add(store::request_priority::done, {"c"});
    add(store::request_priority::done, {"d", "e"});
    auto chosen = store::choose_units(waiting, 4, 10000);
    EXPECT_EQ(chosen, (std::vector<std::size_t>{1, 3})) << "c twice never; a and b do not fit";
}

// --- bidding and fairness ---

TEST(bids, are_queue_plus_fetch_plus_run) {
    auto s = test::small_job("job-1");
    bidding::room whole{4, 0, 16}, full{0, 0, 0}, twice{8, 0, 32};
    // At half speed, with 0.5 GB/s for an image of 1 GB.
    auto bid = [&](const bidding::room &free, const bidding::room &all, seconds work, bool image) {
        return bidding::make_bid(0.5, 0.5, s, free, all, work, 0s, 30s, image, 0);
    };
    EXPECT_DOUBLE_EQ(bid(whole, whole, 0s, false).finish_time().count(), 1 / 0.5 + 30 / 0.5);
    EXPECT_DOUBLE_EQ(bid(whole, whole, 0s, true).fetch_time.count(), 0);
    EXPECT_DOUBLE_EQ(bid(full, whole, 40s, false).queue_time.count(), 40);
    EXPECT_DOUBLE_EQ(bid(full, twice, 40s, false).queue_time.count(), 20);
}

TEST(bids, estimates_learn_a_class) {
    bidding::estimates e;
    auto s = test::small_job("job-1");
    for (int k = 0; k < 60; ++k)
        e.measured("batch", 30s, 15s);
    EXPECT_NEAR(e.expected_run_time(s).count(), 15, 1);
}

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

TEST(machines, keep_the_most_recent_images_that_fit) {
    workers::machine m;
    m.type.cache_gb = 10;
    m.use_image("a", 4, at(1));
    m.use_image("b", 4, at(2));
    m.use_image("a", 4, at(3));
    m.use_image("c", 4, at(4));
    EXPECT_TRUE(m.images.count("a"));
    EXPECT_FALSE(m.images.count("b"));
    EXPECT_TRUE(m.images.count("c"));
}

TEST(jobs, a_hundred_thousand_tasks_are_ranges) {
    catalog::job j;
    j.spec = test::small_job("job-1");
    j.spec.tasks = 100'000;
    j.done.assign(100'000, false);
    j.done[0] = true;
    EXPECT_EQ(j.waiting(), 100'000u);
    std::uint32_t i = 0;
    ASSERT_TRUE(j.pop_waiting(i));
    EXPECT_EQ(i, 1u);
    j.push_back(1);
    EXPECT_EQ(j.again.size(), 1u);
    ASSERT_TRUE(j.pop_waiting(i));
    EXPECT_EQ(i, 1u);
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
                                       {{-5s}, 900s, 5s, c::aged_after + 1s, true, 3},
                                       {{70s}, 90s, 5s, c::starved_after + 1s}},
                                      100),
              (std::vector<fairness::turn>{
                  {2, 1}, {1, 2}, {0, all_tasks}, {2, all_tasks}, {1, all_tasks}}));
}

// Half as many machines again as the files show: their heartbeats and the commands to them once
// took every socket of the leader, which then heard nobody (simulated machines, a day of 2,250).
TEST(sockets, commands_leave_room_for_reports) {
    for (int all : {1200, 4189, 4233, 5000}) {
        auto p = settings::plan_sockets(all);
        EXPECT_LE(p.api + p.back + p.commands + c::other_sockets, static_cast<std::size_t>(all));
        EXPECT_GE(p.api, static_cast<std::size_t>(0.7 * all));
        EXPECT_GE(p.commands, 100u);
    }
    EXPECT_GE(settings::plan_sockets(20).api, 10u) << "few sockets are shared, not all kept back";
    net::server_limits limits{1000, 75s, 5s};
    EXPECT_FALSE(net::server::crowded(850, limits));
    EXPECT_TRUE(net::server::crowded(851, limits));
}

// A zone with the leader is cut off; a controller outside accepts a cancel that the leader can't
// hear of. Its worker's tasks must be gone in time although the leader could renew for ever.
// Half as much again is asked for as can be served, for twenty minutes. With the largest giving way
// alone, some of them never begin (shown by taking the rule for starved jobs out).
TEST(fairness, overload_starves_no_size) {
    struct job {
        time_point arrived, due;
        std::optional<time_point> begun_at, done_at;
        int size = 0, left = 0;
    };
    boost::random::mt19937 random(7);
    boost::random::lognormal_distribution<double> sizes(3.0, 1.0);
    constexpr int slots = 40;
    constexpr seconds run_time{15};
    std::vector<job> jobs;
    std::vector<time_point> free_at(slots);
    double asked = 0;
    for (int second = 0; second < 1800; ++second) {
        auto now = at(second);
        while (second < 1200 && asked < 1.5 * slots * second / run_time.count()) {
            int n = std::clamp(static_cast<int>(sizes(random)), 1, 200);
            jobs.push_back({now, now + 60s, {}, {}, n, n});
            asked += n;
        }
        std::vector<fairness::waiting_job> waiting;
        std::vector<std::size_t> which;
        for (std::size_t i = 0; i < jobs.size(); ++i)
            if (jobs[i].left > 0) {
                auto &j = jobs[i];
                waiting.push_back({{j.due - now},
                                   j.left * run_time,
                                   run_time,
                                   now - j.arrived,
                                   j.begun_at.has_value()});
                which.push_back(i);
            }
        auto order = fairness::serving_order(waiting, slots);
        auto next = order.begin();
        for (auto &f : free_at) {
            while (next != order.end() && (next->most == 0 || jobs[which[next->job]].left == 0))
                ++next;
            if (f > now || next == order.end())
                continue;
            auto &j = jobs[which[next->job]];
            --next->most;
            if (!j.begun_at)
                j.begun_at = now;
            if (--j.left == 0)
                j.done_at = now + run_time;
            f = now + run_time;
        }
    }
    std::vector<int> by_size;
    for (auto &j : jobs)
        by_size.push_back(j.size);
    std::sort(by_size.begin(), by_size.end());
    int large = by_size[by_size.size() * 9 / 10], of_large = 0, large_done = 0;
    for (auto &j : jobs) {
        ASSERT_TRUE(j.begun_at) << j.size << " tasks, from " << in_seconds(j.arrived);
        EXPECT_LE(*j.begun_at - j.arrived, 240s) << j.size << " tasks";
        if (j.size >= large) {
            ++of_large;
            large_done += j.done_at.has_value();
        }
    }
    EXPECT_GT(of_large, 10);
    EXPECT_GT(large_done * 2, of_large);
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
