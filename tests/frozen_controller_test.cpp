// A controller process that was suspended must not act on resuming on a lease or votes that have
// expired meanwhile: the permission is checked after the last suspension point, right before the
// first byte is sent.
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

// Stands in for another controller, a worker, the cloud or the key-value store, and counts the
// requests it gets.
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

// Commands to workers, calls to the cloud and messages to controllers all use this client.
TEST(frozen_controller, sends_no_request_once_its_permission_ended_while_connecting) {
    counting_server server;
    net::client client(server.io, server.at, 1);
    bool entitled = true;
    int permission_checks = 0;
    auto permitted = [&] {
        ++permission_checks;
        return entitled;
    };
    entitled = false; // it ended while the connection was being made
    auto reply = server.call(client, permitted);
    EXPECT_EQ(reply.outcome, net::call_outcome::not_sent);
    EXPECT_EQ(permission_checks, 1);
    EXPECT_EQ(server.requests, 0);
    entitled = true;
    EXPECT_TRUE(server.call(client, permitted).ok());
    entitled = false; // on a kept connection too
    EXPECT_EQ(server.call(client, permitted).outcome, net::call_outcome::not_sent);
    EXPECT_EQ(server.requests, 1);
}

TEST(frozen_controller, sends_no_transaction_once_its_permission_ended) {
    counting_server server;
    server.answer = R"({"ledger":7})";
    auto settings = test::small_settings();
    settings.key_value_address = server.at;
    store::key_value_client store_client(server.io, settings);
    bool entitled = true;
    auto commit = [&] {
        std::vector<txn_op> ops{{"p/1", "[1]", 0}};
        store::transaction_result out;
        bool done = false;
        auto send = [&]() -> awaitable<void> {
            out = co_await store_client.commit({}, ops, store::request_priority::placement,
                                               [&] { return entitled; });
            done = true;
        };
        net::spawn(server.io, send(), "commit");
        while (!done)
            server.io.run_one_for(100ms);
        return out.outcome;
    };
    EXPECT_EQ(commit(), store::transaction_outcome::committed);
    entitled = false;
    EXPECT_EQ(commit(), store::transaction_outcome::refused);
    EXPECT_EQ(server.requests, 1);
}

TEST(frozen_controller, drops_the_queued_writes_once_its_leadership_ended) {
    net::asio::io_context io;
    auto settings = test::small_settings();
    test::state_stand_in store_client(io, settings);
    store::committer commits(io, store_client, settings, "test");
    std::uint64_t token = store_client.apply({}, {{"leader", "{}", 0}}).revision;
    bool leading = true;
    commits.fence = [&]() -> std::optional<txn_condition> {
        if (!leading)
            return std::nullopt;
        return txn_condition{"leader", token};
    };
    store_client.stand_still = [&] { leading = false; };
    std::vector<store::write_outcome> outcomes;
    store::write_unit unit;
    unit.owns_keys = true;
    unit.ops = {{"p/1", "[1]", 0}};
    unit.on_outcome = [&](store::write_outcome outcome, std::uint64_t) {
        outcomes.push_back(outcome);
    };
    commits.submit(std::move(unit));
    net::spawn(io, commits.run(), "commits");
    auto limit = net::steady_now() + 5s;
    while (outcomes.empty() && net::steady_now() < limit)
        io.run_one_for(50ms);
    ASSERT_EQ(outcomes.size(), 1u);
    EXPECT_EQ(outcomes[0], store::write_outcome::unconfirmed);
    EXPECT_EQ(store_client.commits, 0u);
    commits.stop();
    io.run_for(100ms);
}

// The votes expire between the decision to take the leader key and the transaction: the transaction
// must not be sent, and only a new candidacy takes the key.
TEST(frozen_controller, takes_no_leader_key_after_its_votes_expired) {
    net::asio::io_context io;
    auto settings = test::small_settings();
    test::state_stand_in store_client(io, settings);
    membership::member member(io, settings, store_client);
    member.get_records_status = [] { return membership::member::records_status{}; };
    int stood_still = 0;
    std::size_t commits_after = 1;
    store_client.stand_still = [&] {
        if (stood_still++ == 0)
            std::this_thread::sleep_for(constants::candidate_vote_duration + 200ms);
        else
            commits_after = store_client.commits;
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
