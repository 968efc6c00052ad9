// Jobs that wait for others, end to end: three controllers on loopback, users at any of them.
#include "cluster_stand_ins.hpp"
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace spindlecroft::test;

namespace {

std::string waiting_for(const std::string &id, const std::string &list) {
    return submission(id, 4, "blue", list);
}

} // namespace

TEST(dependencies, are_checked_when_the_job_is_submitted) {
    cluster c;
    ASSERT_TRUE(c.ready());
    ASSERT_EQ(c.submit(0, submission("job-1")), 201);
    ASSERT_EQ(c.submit(0, submission("job-2", 4, "blue", "null", "standing")), 201);
    for (auto *list : {R"("job-1")", "[1]", R"([""])", R"(["not a job"])", R"(["job-1","job-1"])",
                       R"(["job-9"])"})
        EXPECT_EQ(c.submit(1, waiting_for("job-9", list)), 400) << list;
    EXPECT_EQ(c.submit(1, waiting_for("job-9", R"(["job-1","job-77"])")), 422);
    EXPECT_EQ(c.submit(2, waiting_for("job-9", R"(["job-2"])")), 422);
    EXPECT_EQ(c.poll(0, "job-9"), "404") << "nothing was accepted";
    EXPECT_EQ(c.submit(1, waiting_for("job-9", R"(["job-1"])")), 201);
    EXPECT_EQ(c.submit(2, waiting_for("job-10", "[]")), 201);
    EXPECT_EQ(c.poll(0, "job-9"), "200 pending");
    // A repeat answers the job's state, whatever it names now.
    EXPECT_EQ(c.submit(0, waiting_for("job-9", R"(["job-77"])")), 200);
}

// "Never accepted" can't be said while the records can't be read.
TEST(dependencies, an_unknown_predecessor_is_unsure_in_an_outage) {
    cluster c;
    ASSERT_TRUE(c.ready());
    c.state.set_outage(true);
    EXPECT_EQ(c.submit(0, waiting_for("job-9", R"(["job-77"])")), 503);
    c.state.set_outage(false);
    EXPECT_TRUE(c.until([&] { return c.submit(0, waiting_for("job-9", R"(["job-77"])")) == 422; }));
}

// The record names only predecessors that were not over yet, and it says at once what a cancelled
// one means: nobody has to look that up later.
TEST(dependencies, what_has_ended_is_settled_in_the_record) {
    cluster c;
    ASSERT_TRUE(c.ready());
    c.state.put("j/e/job-1", json::parse(R"({"stage":"done","done":1})"), 0);
    c.state.put("j/e/job-2", json::parse(R"({"stage":"aborted","done":0})"), 0);
    ++c.state.ledger;
    ASSERT_EQ(c.submit(0, submission("job-3")), 201);
    ASSERT_EQ(c.submit(1, waiting_for("job-4", R"(["job-1","job-3"])")), 201);
    auto record = wire::parse_job_record(json::serialize(c.state.keys.at("j/a/job-4").data));
    EXPECT_EQ(record.spec.predecessors, std::vector<std::string>{"job-3"});
    ASSERT_EQ(c.submit(1, waiting_for("job-5", R"(["job-1"])")), 201);
    EXPECT_TRUE(wire::parse_job_record(json::serialize(c.state.keys.at("j/a/job-5").data))
                    .spec.predecessors.empty());
    auto answer = c.call(2, "POST", "/submissions", waiting_for("job-6", R"(["job-2","job-3"])"));
    EXPECT_EQ(answer.status, 201);
    EXPECT_EQ(json::parse(answer.body).at("stage").as_string(), "aborted");
    EXPECT_EQ(c.poll(0, "job-6"), "200 aborted");
}

// Every node says so from the moment at which the user was told of the first job's cancel.
TEST(dependencies, a_cancel_reaches_all_dependents_at_every_node) {
    cluster c;
    ASSERT_TRUE(c.ready());
    ASSERT_EQ(c.submit(0, submission("job-1")), 201);
    ASSERT_EQ(c.submit(1, waiting_for("job-2", R"(["job-1"])")), 201);
    ASSERT_EQ(c.submit(2, waiting_for("job-3", R"(["job-1"])")), 201);
    ASSERT_EQ(c.submit(0, waiting_for("job-4", R"(["job-2","job-3"])")), 201);
    ASSERT_EQ(c.cancel(1, "job-1"), "200 aborted");
    for (std::size_t node = 0; node < 3; ++node)
        for (auto *id : {"job-2", "job-3", "job-4"})
            EXPECT_EQ(c.poll(node, id), "200 aborted") << node << " " << id;
    EXPECT_EQ(c.cancel(2, "job-4"), "200 aborted");
    ASSERT_EQ(c.submit(0, waiting_for("job-5", R"(["job-4"])")), 201);
    EXPECT_EQ(c.poll(2, "job-5"), "200 aborted");
    EXPECT_TRUE(c.until([&] { return c.state.keys.count("j/e/job-4") > 0; }));
    EXPECT_EQ(c.poll(1, "job-4"), "200 aborted");
}

// A cancel of the first job and a submission that names it, at once and at two nodes: whichever
// comes first, the dependent is cancelled in the end and is never called anything else after that.
TEST(dependencies, a_cancel_meets_the_submission_of_a_dependent) {
    cluster c;
    ASSERT_TRUE(c.ready());
    for (int round = 0; round < 8; ++round) {
        auto first = fmt::format("job-{}", 10 + round), second = fmt::format("job-{}", 30 + round);
        ASSERT_EQ(c.submit(0, submission(first)), 201);
        bool told = false, accepted = false;
        net::client canceller(c.io, c.conf[1].api_address, 1),
            submitter(c.io, c.conf[2].api_address, 1);
        auto cancel = [&]() -> awaitable<void> {
            auto answer =
                co_await canceller.call("POST", "/submissions/" + first + "/abort", "", 6s);
            told = answer.ok();
        };
        auto submit = [&]() -> awaitable<void> {
            co_await net::sleep_for(round * 10ms);
            auto body = waiting_for(second, "[\"" + first + "\"]");
            auto answer = co_await submitter.call("POST", "/submissions", body, 6s);
            accepted = answer.status == 201;
        };
        net::spawn(c.io, cancel(), "cancel");
        net::spawn(c.io, submit(), "submit");
        ASSERT_TRUE(c.until([&] { return told && accepted; }, 10s));
        for (std::size_t node = 0; node < 3; ++node)
            EXPECT_EQ(c.poll(node, second), "200 aborted") << round << " at " << node;
    }
}

// Guards against orphaned: a node that never heard how a predecessor ended reads it before its
// first answer, and does not call the dependent pending meanwhile.
TEST(dependencies, an_end_that_a_node_missed_is_read_before_the_answer) {
    cluster c;
    for (std::size_t node = 0; node < 3; ++node)
        c.state.put(fmt::format("j/e/job-{}", node), json::parse(R"({"stage":"aborted","done":0})"),
                    0);
    ASSERT_TRUE(c.ready());
    for (std::size_t node = 0; node < 3; ++node) {
        auto id = fmt::format("job-1{}", node);
        auto record = wire::job_record{false, wall_at(1), {}, small_job(id)};
        record.spec.predecessors = {fmt::format("job-{}", node)};
        ++c.state.ledger;
        c.state.put("j/a/" + id, json::parse(wire::encode_job_record(record)), 0);
        EXPECT_EQ(c.poll(node, id), "200 aborted") << node;
    }
}
