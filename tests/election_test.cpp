// Tests of the leader election's state machine, without I/O.
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

// Controller n0 among n0, n1 and n2; its vote blackout after the start is over at 10 s.
struct controller_of_three {
    election node{"n0", "n0#1", {"n1", "n2"}, at(0)};

    peer_request own_request(requester_role role, seconds duration) const {
        peer_request request;
        request.kind = request_kind::vote;
        request.from = "n0";
        request.candidacy = node.candidacy();
        request.role = role;
        request.vote_duration = duration;
        return request;
    }
    void receive_vote(const std::string &peer, requester_role role, time_point now) {
        auto duration =
            role == requester_role::leader ? c::leader_vote_duration : c::candidate_vote_duration;
        node.on_vote_granted(peer, own_request(role, duration), now, now);
    }
    void win_election(time_point now, std::uint64_t version = 7) {
        ASSERT_TRUE(node.start_campaign(now));
        receive_vote("n1", requester_role::candidate, now);
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

vote_response status_response(bool store_reachable, seconds heartbeat_age) {
    vote_response answer;
    answer.store_reachable = store_reachable;
    answer.heartbeat_age = heartbeat_age;
    return answer;
}

} // namespace

TEST(election, transitions_from_follower_to_leader_and_back) {
    controller_of_three controller;
    EXPECT_EQ(controller.node.state(), election_state::follower);
    ASSERT_TRUE(controller.node.start_campaign(at(10)));
    EXPECT_EQ(controller.node.state(), election_state::candidate);
    EXPECT_FALSE(controller.node.step_down()) << "a candidate has no leadership to step down from";
    EXPECT_FALSE(controller.node.has_majority(at(10))) << "with its own vote alone";
    controller.receive_vote("n1", requester_role::candidate, at(10));
    ASSERT_TRUE(controller.node.has_majority(at(10)));
    EXPECT_FALSE(controller.node.is_leading(at(10))) << "without the leader key";
    controller.node.become_leader({7, 5, at(10)}, at(10));
    EXPECT_EQ(controller.node.state(), election_state::leader);
    EXPECT_TRUE(controller.node.is_leading(at(10)));
    EXPECT_EQ(controller.node.token(), 7u);
    EXPECT_TRUE(controller.node.step_down());
    EXPECT_FALSE(controller.node.step_down()) << "already stepping down";
    EXPECT_EQ(controller.node.state(), election_state::stepping_down);
    EXPECT_TRUE(controller.node.is_leading(at(10))) << "until the leadership has ended";
    controller.node.end_leadership();
    EXPECT_EQ(controller.node.state(), election_state::follower);
    EXPECT_FALSE(controller.node.is_leading(at(10)));
}

TEST(election, grants_one_vote_at_a_time_and_none_during_the_blackout) {
    controller_of_three controller;
    auto first_request = vote_request("n1", requester_role::candidate);
    auto second_request = vote_request("n2", requester_role::candidate);
    EXPECT_EQ(controller.node.on_request(first_request, at(1)), false)
        << "its earlier votes may still be valid";
    EXPECT_FALSE(controller.node.may_campaign(at(1)));
    EXPECT_EQ(controller.node.on_request(first_request, at(10)), true);
    EXPECT_EQ(controller.node.on_request(second_request, at(11)), false);
    EXPECT_FALSE(controller.node.start_campaign(at(11)));
    EXPECT_EQ(controller.node.state(), election_state::follower);
    EXPECT_TRUE(controller.node.has_voted_for_another(at(11)));
    first_request.kind = request_kind::release;
    EXPECT_EQ(controller.node.on_request(first_request, at(11)), std::nullopt);
    EXPECT_EQ(controller.node.on_request(second_request, at(11)), true);
}

TEST(election, ignores_votes_for_an_earlier_candidacy) {
    controller_of_three controller;
    ASSERT_TRUE(controller.node.start_campaign(at(10)));
    auto outdated_request =
        controller.own_request(requester_role::candidate, c::candidate_vote_duration);
    controller.node.abandon_campaign();
    controller.node.release_own_vote();
    ASSERT_TRUE(controller.node.start_campaign(at(10.5)));
    EXPECT_FALSE(controller.node.is_current(outdated_request, at(10.5)));
    controller.node.on_vote_granted("n1", outdated_request, at(10), at(10.5));
    EXPECT_FALSE(controller.node.has_majority(at(10.5)));
    controller.receive_vote("n1", requester_role::candidate, at(10.5));
    EXPECT_TRUE(controller.node.has_majority(at(10.5)));
}

TEST(election, expired_leader_requests_no_votes_and_is_not_restored_by_one) {
    controller_of_three controller;
    controller.win_election(at(10));
    auto request = controller.own_request(requester_role::leader, c::leader_vote_duration);
    EXPECT_TRUE(controller.node.is_current(request, at(12)));
    EXPECT_FALSE(controller.node.is_leading(at(14)));
    EXPECT_FALSE(controller.node.is_current(request, at(14)));
    controller.node.renew_own_vote(at(14));
    controller.node.on_vote_granted("n1", request, at(14), at(14));
    EXPECT_FALSE(controller.node.is_leading(at(14)));
}

TEST(election, leader_renews_immediately_and_then_at_intervals) {
    controller_of_three controller;
    controller.win_election(at(10));
    EXPECT_TRUE(controller.node.take_due_renewal(at(10)));
    EXPECT_FALSE(controller.node.take_due_renewal(at(10)));
    EXPECT_EQ(controller.node.next_renewal(), at(10) + c::leader_renew_interval);
    EXPECT_TRUE(controller.node.take_due_renewal(at(10) + c::leader_renew_interval));
}

TEST(election, leader_steps_down_only_for_a_better_connected_controller) {
    controller_of_three controller;
    controller.win_election(at(10));
    controller.node.on_heartbeat(at(10));
    auto long_silence = c::step_down_store_silence + 1s;
    EXPECT_FALSE(controller.node.is_better_leader_available(long_silence, at(11)))
        << "no other controller has sent a status";
    controller.node.on_response("n1", status_response(false, 1s), at(11));
    EXPECT_FALSE(controller.node.is_better_leader_available(long_silence, at(11)))
        << "the store is down for all controllers";
    controller.node.on_response("n1", status_response(true, 100s), at(11));
    EXPECT_TRUE(controller.node.is_better_leader_available(long_silence, at(11)));
    EXPECT_FALSE(controller.node.is_better_leader_available(long_silence, at(12)))
        << "an outdated status";
    EXPECT_FALSE(controller.node.is_better_leader_available(0s, at(11)))
        << "the store answers this controller";

    auto without_heartbeats = at(10) + c::step_down_heartbeat_silence + 1s;
    controller.node.on_response("n1", status_response(true, 100s), without_heartbeats);
    EXPECT_FALSE(controller.node.is_better_leader_available(0s, without_heartbeats))
        << "no worker sends heartbeats there either";
    controller.node.on_response("n1", status_response(true, 1s), without_heartbeats);
    EXPECT_TRUE(controller.node.is_better_leader_available(0s, without_heartbeats));
    controller.node.pause_campaigns(without_heartbeats);
    EXPECT_FALSE(
        controller.node.may_campaign(without_heartbeats + c::step_down_campaign_pause - 1s));
    EXPECT_TRUE(controller.node.may_campaign(without_heartbeats + c::step_down_campaign_pause));
}

TEST(election, leader_hint_prefers_an_active_leader_to_the_leader_key) {
    controller_of_three controller;
    EXPECT_EQ(controller.node.leader_hint(at(10)), "");
    controller.node.on_leader_key("n1");
    EXPECT_EQ(controller.node.leader_hint(at(10)), "n1");
    controller.node.on_request(vote_request("n2", requester_role::candidate), at(10));
    EXPECT_EQ(controller.node.leader_hint(at(10)), "n1") << "a candidate is not a leader yet";
    controller.node.on_request(vote_request("n2", requester_role::leader), at(10));
    EXPECT_EQ(controller.node.leader_hint(at(11)), "n2");
    EXPECT_EQ(controller.node.leader_hint(at(10) + c::leader_vote_duration), "n1");
    controller.node.on_leader_key("n0");
    EXPECT_EQ(controller.node.leader_hint(at(20)), "")
        << "the key names this controller, which does not lead";
    controller.win_election(at(20));
    EXPECT_EQ(controller.node.leader_hint(at(20)), "n0");
}

TEST(election, token_only_increases_and_raises_are_counted_per_leadership) {
    controller_of_three controller;
    EXPECT_FALSE(controller.node.raise_token(9)) << "not elected";
    controller.win_election(at(10), 7);
    EXPECT_EQ(controller.node.next_token_raise(), 1u);
    EXPECT_FALSE(controller.node.raise_token(7));
    EXPECT_TRUE(controller.node.raise_token(9));
    EXPECT_EQ(controller.node.token(), 9u);
    EXPECT_EQ(controller.node.next_token_raise(), 2u);
    controller.node.end_leadership();
    EXPECT_FALSE(controller.node.raise_token(11)) << "after the leadership has ended";
    controller.win_election(at(20), 12);
    EXPECT_EQ(controller.node.next_token_raise(), 1u);
}

TEST(election, leader_key_requests_wait_for_the_operation_in_progress) {
    controller_of_three controller;
    controller.node.request_token_raise();
    controller.win_election(at(10));
    EXPECT_FALSE(controller.node.take_token_raise_request()) << "requested before this leadership";
    controller.node.request_token_raise();
    controller.node.request_key_check();
    ASSERT_TRUE(controller.node.start_key_operation());
    EXPECT_FALSE(controller.node.start_key_operation());
    EXPECT_FALSE(controller.node.take_token_raise_request());
    EXPECT_FALSE(controller.node.take_key_check_request());
    controller.node.end_key_operation();
    EXPECT_TRUE(controller.node.take_token_raise_request());
    EXPECT_FALSE(controller.node.take_token_raise_request()) << "returned only once";
    EXPECT_TRUE(controller.node.take_key_check_request());
}

TEST(election, isolation_and_store_reachability_follow_from_peer_messages) {
    controller_of_three controller;
    EXPECT_TRUE(controller.node.is_isolated_for(5s, at(10)));
    EXPECT_FALSE(controller.node.store_reachable_elsewhere(at(10)));
    controller.node.on_request(vote_request("n2", requester_role::candidate), at(10));
    EXPECT_FALSE(controller.node.is_isolated_for(5s, at(11)));
    EXPECT_TRUE(controller.node.store_reachable_elsewhere(at(11)));
    EXPECT_FALSE(controller.node.store_reachable_elsewhere(at(10) + c::readiness_report_max_age));
    EXPECT_TRUE(controller.node.is_isolated_for(5s, at(15)));
    EXPECT_FALSE(election("n0", "n0#1", {}, at(0)).is_isolated_for(5s, at(10)))
        << "there are no other controllers";
}
