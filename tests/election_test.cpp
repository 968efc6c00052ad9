// The election of a leader as a state machine, without input or output.
#include "constants.hpp"
#include "membership/election.hpp"
#include "test_time.hpp"
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace std::chrono_literals;
using membership::election;
using membership::election_state;
using membership::peer_request;
using membership::request_kind;
using membership::requester_role;
using membership::vote_response;
using test::at;

namespace c = constants;

namespace {

// A controller n0 among n0, n1 and n2, started long enough ago that it may vote.
struct controller_of_three {
    election node{"n0", "n0#1", {"n1", "n2"}, at(0)};

    peer_request own_request(requester_role role, seconds length) const {
        peer_request request;
        request.kind = request_kind::vote;
        request.from = "n0";
        request.candidacy = node.candidacy();
        request.role = role;
        request.vote_duration = length;
        return request;
    }
    void get_vote(const std::string &peer, requester_role role, time_point now) {
        auto length =
            role == requester_role::leader ? c::leader_vote_duration : c::candidate_vote_duration;
        node.on_vote_granted(peer, own_request(role, length), now, now);
    }
    void be_elected(time_point now, std::uint64_t version = 7) {
        ASSERT_TRUE(node.start_campaign(now));
        get_vote("n1", requester_role::candidate, now);
        ASSERT_TRUE(node.has_majority(now));
        node.become_leader({version, 5, now}, now);
    }
};

peer_request vote_request(const std::string &from, requester_role role) {
    peer_request request;
    request.kind = request_kind::vote;
    request.from = from;
    request.candidacy = from + "#1#1";
    request.role = role;
    request.vote_duration = 2s;
    request.store_reachable = true;
    return request;
}

vote_response report(bool store_serving, seconds heartbeat_age) {
    vote_response answer;
    answer.store_reachable = store_serving;
    answer.heartbeat_age = heartbeat_age;
    return answer;
}

} // namespace

TEST(election, goes_through_its_states_in_order) {
    controller_of_three of;
    EXPECT_EQ(of.node.state(), election_state::follower);
    ASSERT_TRUE(of.node.start_campaign(at(10)));
    EXPECT_EQ(of.node.state(), election_state::candidate);
    EXPECT_FALSE(of.node.step_down()) << "a candidate has no leadership to give up";
    EXPECT_FALSE(of.node.has_majority(at(10))) << "with its own vote alone";
    of.get_vote("n1", requester_role::candidate, at(10));
    ASSERT_TRUE(of.node.has_majority(at(10)));
    EXPECT_FALSE(of.node.is_leading(at(10))) << "without the leader key";
    of.node.become_leader({7, 5, at(10)}, at(10));
    EXPECT_EQ(of.node.state(), election_state::leader);
    EXPECT_TRUE(of.node.is_leading(at(10)));
    EXPECT_EQ(of.node.token(), 7u);
    EXPECT_TRUE(of.node.step_down());
    EXPECT_FALSE(of.node.step_down()) << "twice";
    EXPECT_EQ(of.node.state(), election_state::stepping_down);
    EXPECT_TRUE(of.node.is_leading(at(10))) << "until the leadership is closed";
    of.node.end_leadership();
    EXPECT_EQ(of.node.state(), election_state::follower);
    EXPECT_FALSE(of.node.is_leading(at(10)));
}

TEST(election, gives_one_vote_at_a_time_and_none_right_after_a_start) {
    controller_of_three of;
    auto first = vote_request("n1", requester_role::candidate);
    auto second = vote_request("n2", requester_role::candidate);
    EXPECT_EQ(of.node.on_request(first, at(1)), false) << "its earlier votes may still hold";
    EXPECT_FALSE(of.node.may_campaign(at(1)));
    EXPECT_EQ(of.node.on_request(first, at(10)), true);
    EXPECT_EQ(of.node.on_request(second, at(11)), false);
    EXPECT_FALSE(of.node.start_campaign(at(11)));
    EXPECT_EQ(of.node.state(), election_state::follower);
    EXPECT_TRUE(of.node.has_voted_for_another(at(11)));
    first.kind = request_kind::release;
    EXPECT_EQ(of.node.on_request(first, at(11)), std::nullopt);
    EXPECT_EQ(of.node.on_request(second, at(11)), true);
}

TEST(election, a_vote_for_an_earlier_candidacy_does_not_count) {
    controller_of_three of;
    ASSERT_TRUE(of.node.start_campaign(at(10)));
    auto late = of.own_request(requester_role::candidate, c::candidate_vote_duration);
    of.node.abandon_campaign();
    of.node.release_own_vote();
    ASSERT_TRUE(of.node.start_campaign(at(10.5)));
    EXPECT_FALSE(of.node.is_current(late, at(10.5)));
    of.node.on_vote_granted("n1", late, at(10), at(10.5));
    EXPECT_FALSE(of.node.has_majority(at(10.5)));
    of.get_vote("n1", requester_role::candidate, at(10.5));
    EXPECT_TRUE(of.node.has_majority(at(10.5)));
}

TEST(election, a_leader_that_lapsed_neither_asks_for_votes_nor_is_revived_by_one) {
    controller_of_three of;
    of.be_elected(at(10));
    auto request = of.own_request(requester_role::leader, c::leader_vote_duration);
    EXPECT_TRUE(of.node.is_current(request, at(12)));
    EXPECT_FALSE(of.node.is_leading(at(14)));
    EXPECT_FALSE(of.node.is_current(request, at(14)));
    of.node.renew_own_vote(at(14));
    of.node.on_vote_granted("n1", request, at(14), at(14));
    EXPECT_FALSE(of.node.is_leading(at(14)));
}

TEST(election, a_leader_renews_at_once_and_then_at_intervals) {
    controller_of_three of;
    of.be_elected(at(10));
    EXPECT_TRUE(of.node.take_due_renewal(at(10)));
    EXPECT_FALSE(of.node.take_due_renewal(at(10)));
    EXPECT_EQ(of.node.next_renewal(), at(10) + c::leader_renew_interval);
    EXPECT_TRUE(of.node.take_due_renewal(at(10) + c::leader_renew_interval));
}

TEST(election, a_leader_gives_way_only_to_one_that_is_surely_better_placed) {
    controller_of_three of;
    of.be_elected(at(10));
    of.node.on_heartbeat(at(10));
    auto long_silence = c::step_down_store_silence + 1s;
    EXPECT_FALSE(of.node.is_better_leader_available(long_silence, at(11))) << "nobody was heard";
    of.node.on_response("n1", report(false, 1s), at(11));
    EXPECT_FALSE(of.node.is_better_leader_available(long_silence, at(11))) << "an outage for all";
    of.node.on_response("n1", report(true, 100s), at(11));
    EXPECT_TRUE(of.node.is_better_leader_available(long_silence, at(11)));
    EXPECT_FALSE(of.node.is_better_leader_available(long_silence, at(12))) << "an old report";
    EXPECT_FALSE(of.node.is_better_leader_available(0s, at(11))) << "the store answers here";

    auto without_heartbeats = at(10) + c::step_down_heartbeat_silence + 1s;
    of.node.on_response("n1", report(true, 100s), without_heartbeats);
    EXPECT_FALSE(of.node.is_better_leader_available(0s, without_heartbeats))
        << "no worker reports there either";
    of.node.on_response("n1", report(true, 1s), without_heartbeats);
    EXPECT_TRUE(of.node.is_better_leader_available(0s, without_heartbeats));
    of.node.pause_campaigns(without_heartbeats);
    EXPECT_FALSE(of.node.may_campaign(without_heartbeats + c::step_down_campaign_pause - 1s));
    EXPECT_TRUE(of.node.may_campaign(without_heartbeats + c::step_down_campaign_pause));
}

TEST(election, the_leader_hint_prefers_a_live_leader_to_the_leader_key) {
    controller_of_three of;
    EXPECT_EQ(of.node.leader_hint(at(10)), "");
    of.node.on_leader_key("n1");
    EXPECT_EQ(of.node.leader_hint(at(10)), "n1");
    of.node.on_request(vote_request("n2", requester_role::candidate), at(10));
    EXPECT_EQ(of.node.leader_hint(at(10)), "n1") << "a candidate leads nobody yet";
    of.node.on_request(vote_request("n2", requester_role::leader), at(10));
    EXPECT_EQ(of.node.leader_hint(at(11)), "n2");
    EXPECT_EQ(of.node.leader_hint(at(10) + c::leader_vote_duration), "n1");
    of.node.on_leader_key("n0");
    EXPECT_EQ(of.node.leader_hint(at(20)), "") << "the key is ours, but we do not lead";
    of.be_elected(at(20));
    EXPECT_EQ(of.node.leader_hint(at(20)), "n0");
}

TEST(election, the_token_only_rises_and_raises_are_counted_within_a_leadership) {
    controller_of_three of;
    EXPECT_FALSE(of.node.raise_token(9)) << "not elected";
    of.be_elected(at(10), 7);
    EXPECT_EQ(of.node.next_token_raise(), 1u);
    EXPECT_FALSE(of.node.raise_token(7));
    EXPECT_TRUE(of.node.raise_token(9));
    EXPECT_EQ(of.node.token(), 9u);
    EXPECT_EQ(of.node.next_token_raise(), 2u);
    of.node.end_leadership();
    EXPECT_FALSE(of.node.raise_token(11)) << "after the leadership was closed";
    of.be_elected(at(20), 12);
    EXPECT_EQ(of.node.next_token_raise(), 1u);
}

TEST(election, requests_for_the_leader_key_wait_for_the_operation_under_way) {
    controller_of_three of;
    of.node.request_token_raise();
    of.be_elected(at(10));
    EXPECT_FALSE(of.node.take_token_raise_request()) << "of an earlier leadership";
    of.node.request_token_raise();
    of.node.request_key_check();
    ASSERT_TRUE(of.node.start_key_operation());
    EXPECT_FALSE(of.node.start_key_operation());
    EXPECT_FALSE(of.node.take_token_raise_request());
    EXPECT_FALSE(of.node.take_key_check_request());
    of.node.end_key_operation();
    EXPECT_TRUE(of.node.take_token_raise_request());
    EXPECT_FALSE(of.node.take_token_raise_request()) << "handed out once";
    EXPECT_TRUE(of.node.take_key_check_request());
}

TEST(election, isolation_and_a_served_store_elsewhere_follow_from_reports) {
    controller_of_three of;
    EXPECT_TRUE(of.node.is_isolated_for(5s, at(10)));
    EXPECT_FALSE(of.node.store_reachable_elsewhere(at(10)));
    of.node.on_request(vote_request("n2", requester_role::candidate), at(10));
    EXPECT_FALSE(of.node.is_isolated_for(5s, at(11)));
    EXPECT_TRUE(of.node.store_reachable_elsewhere(at(11)));
    EXPECT_FALSE(of.node.store_reachable_elsewhere(at(10) + c::readiness_report_max_age));
    EXPECT_TRUE(of.node.is_isolated_for(5s, at(15)));
    EXPECT_FALSE(election("n0", "n0#1", {}, at(0)).is_isolated_for(5s, at(10)))
        << "there is no other";
}
