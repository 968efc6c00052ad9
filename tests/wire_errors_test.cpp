// The exception for a rejected message names the invalid field, in its text and as a member.
#include "wire/cloud.hpp"
#include "wire/heartbeats.hpp"
#include "wire/key_value.hpp"
#include "wire/peer.hpp"
#include "wire/placement_records.hpp"
#include "wire/submissions.hpp"
#include <functional>
#include <gtest/gtest.h>

namespace spindlecroft::wire {
namespace {

struct rejected_message {
    std::function<void(const std::string &)> parse;
    std::string body;
    std::string field;
    std::string error_text;
};

TEST(wire_errors, name_the_invalid_field) {
    auto submission = [](const std::string &body) { (void)parse_submission(body); };
    auto heartbeat = [](const std::string &body) { (void)parse_heartbeat(body); };
    auto types = [](const std::string &body) { (void)parse_machine_types(body); };
    auto transaction = [](const std::string &body) { (void)parse_txn_answer(body); };
    auto done = [](const std::string &body) { (void)parse_done_parts(body); };
    auto peer = [](const std::string &body) { (void)parse_peer_message(body); };
    const std::string heartbeat_start =
        R"({"spindle":"m","address":"a","frame":"f","croft":"z","shift":1,"tally":2,"warrant":3,)";
    const std::vector<rejected_message> cases = {
        {submission, "{", "body", "body: not JSON"},
        {submission, "[]", "body", "body: not an object"},
        {submission, "{}", "uid", "uid: is missing"},
        {submission, R"({"uid":null})", "uid", "uid: is missing"},
        {submission, R"({"uid":"j"})", "uid", "uid: is not of the form job-..."},
        {heartbeat, R"({"spindle":1})", "spindle", "spindle: must be a text"},
        {heartbeat, heartbeat_start + R"("threads":[{"thread":"job-1"}]})", "thread",
         "thread: is not JOB/NUMBER"},
        {heartbeat, heartbeat_start + R"("threads":[{"thread":"job-1/100000"}]})", "thread",
         "thread: has too large a number"},
        {heartbeat, heartbeat_start + R"("threads":[{"thread":"job-1/1","try":1,"stage":"new"}]})",
         "stage", "stage: is not a task state"},
        {types, R"({"frames":[1]})", "frames", "frames: must hold objects"},
        {transaction, R"({"failed":[1]})", "failed", "failed: must hold texts"},
        {transaction, R"({"ledger":-1})", "ledger", "ledger: must be an integer of at least 0"},
        {done, R"({"job-1/0":"G"})", "done", "done: must be hex digits"},
        {done, R"({"job-1/":"0"})", "done", "done: must hold parts of jobs"},
        {peer, "{", "peer", "peer: not CBOR"},
    };
    for (const auto &rejected : cases) {
        try {
            rejected.parse(rejected.body);
            ADD_FAILURE() << rejected.body << " was accepted";
        } catch (const malformed_message &error) {
            EXPECT_EQ(error.field(), rejected.field) << rejected.body;
            EXPECT_EQ(error.what(), rejected.error_text) << rejected.body;
        }
    }
}

TEST(wire_errors, field_of_a_complete_text_ends_at_the_first_colon) {
    malformed_message error("cancels: the answer contradicts the question");
    EXPECT_EQ(error.field(), "cancels");
    EXPECT_STREQ(error.what(), "cancels: the answer contradicts the question");
}

} // namespace
} // namespace spindlecroft::wire
