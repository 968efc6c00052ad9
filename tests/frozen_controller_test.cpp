// A controller that stood still does nothing on waking that it is not entitled to any more: the
// permission is asked after the last suspension, right before the first byte goes out.
#include "builders.hpp"
#include "constants.hpp"
#include "key_value_stand_in.hpp"
#include "loopback_ports.hpp"
#include "membership/member.hpp"
#include "net/http.hpp"
#include "store/committer.hpp"
#include <gtest/gtest.h>
#include <thread>

using namespace spindlecroft;
using namespace std::chrono_literals;
using net::awaitable;

namespace {

// Another controller, a worker, the cloud or the key-value store: counts what reaches it.
struct counting_server {
    net::asio::io_context io;
    settings::address at = test::free_address();
    int requests = 0;
    std::string answer = "{}";
    net::server server{io, at,
                       [this](net::request) -> awaitable<net::response> {
                           ++requests;
                           co_return net::response{200, answer, 0, false};
                       },
                       net::server_limits{}, "counting"};
    counting_server() { server.start(); }

    net::reply call(net::client &client, net::permission permitted) {
        net::reply out;
        bool done = false;
        net::spawn(
            io,
            [&]() -> awaitable<void> {
                out = co_await client.call("POST", "/x", "{}", 2s, false, std::move(permitted));
                done = true;
            }(),
            "call");
        while (!done)
            io.run_one_for(100ms);
        return out;
    }
};

} // namespace

// Commands to workers, calls to the cloud and messages to controllers go through this client.
TEST(frozen_controller, sends_no_request_once_its_permission_ended_while_connecting) {
    counting_server s;
    net::client client(s.io, s.at, 1);
    bool entitled = true;
    int asked = 0;
    auto permitted = [&] {
        ++asked;
        return entitled;
    };
    entitled = false; // it ended while the connection was being made
    auto r = s.call(client, permitted);
    EXPECT_EQ(r.outcome, net::call_outcome::not_sent);
    EXPECT_EQ(asked, 1);
    EXPECT_EQ(s.requests, 0);
    entitled = true;
    EXPECT_TRUE(s.call(client, permitted).ok());
    entitled = false; // on a kept connection too
    EXPECT_EQ(s.call(client, permitted).outcome, net::call_outcome::not_sent);
    EXPECT_EQ(s.requests, 1);
}

TEST(frozen_controller, sends_the_state_service_no_transaction) {
    counting_server s;
    s.answer = R"({"ledger":7})";
    auto conf = test::small_settings();
    conf.key_value_address = s.at;
    store::key_value_client state(s.io, conf);
    bool entitled = true;
    auto commit = [&] {
        std::vector<txn_op> ops{{"p/1", "[1]", 0}};
        store::transaction_result out;
        bool done = false;
        auto send = [&]() -> awaitable<void> {
            out = co_await state.commit({}, ops, store::request_priority::placement,
                                        [&] { return entitled; });
            done = true;
        };
        net::spawn(s.io, send(), "commit");
        while (!done)
            s.io.run_one_for(100ms);
        return out.outcome;
    };
    EXPECT_EQ(commit(), store::transaction_outcome::committed);
    entitled = false;
    EXPECT_EQ(commit(), store::transaction_outcome::refused);
    EXPECT_EQ(s.requests, 1);
}

TEST(frozen_controller, gives_up_what_waited_to_be_written) {
    net::asio::io_context io;
    auto conf = test::small_settings();
    test::state_stand_in state(io, conf);
    store::committer commits(io, state, conf, "test");
    std::uint64_t token = state.apply({}, {{"leader", "{}", 0}}).revision;
    bool leading = true;
    commits.fence = [&]() -> std::optional<txn_condition> {
        if (!leading)
            return std::nullopt;
        return txn_condition{"leader", token};
    };
    state.stand_still = [&] { leading = false; };
    std::vector<store::write_outcome> told;
    store::write_unit u;
    u.owns_keys = true;
    u.ops = {{"p/1", "[1]", 0}};
    u.on_outcome = [&](store::write_outcome how, std::uint64_t) { told.push_back(how); };
    commits.submit(std::move(u));
    net::spawn(io, commits.run(), "commits");
    auto limit = net::steady_now() + 5s;
    while (told.empty() && net::steady_now() < limit)
        io.run_one_for(50ms);
    ASSERT_EQ(told.size(), 1u);
    EXPECT_EQ(told[0], store::write_outcome::unconfirmed);
    EXPECT_EQ(state.commits, 0u);
    commits.stop();
    io.run_for(100ms);
}

// Between the decision to take the leader key and the transaction its votes ran out: the key stays
// as it is, and only a new candidacy takes it.
TEST(frozen_controller, takes_no_leader_key_after_its_votes_ended) {
    net::asio::io_context io;
    auto conf = test::small_settings();
    test::state_stand_in state(io, conf);
    membership::member member(io, conf, state);
    member.get_records_status = [] { return membership::member::records_status{}; };
    int stood_still = 0;
    std::size_t commits_after = 1;
    state.stand_still = [&] {
        if (stood_still++ == 0)
            std::this_thread::sleep_for(constants::candidate_vote_duration + 200ms);
        else
            commits_after = state.commits;
    };
    net::spawn(io, member.run(), "membership");
    auto limit = net::steady_now() + 10s;
    while (!member.is_leading() && net::steady_now() < limit)
        io.run_one_for(50ms);
    EXPECT_TRUE(member.is_leading());
    EXPECT_GE(stood_still, 2);
    EXPECT_EQ(commits_after, 0u) << "the first candidacy's transaction was sent";
    member.stop();
    io.run_for(200ms);
}
