// Encoding and parsing of messages and records: they survive a round trip, and a malformed one is
// rejected with the name of the invalid field.
#include "replace_first.hpp"
#include "test_time.hpp"
#include "wire/codec.hpp"
#include <algorithm>
#include <gtest/gtest.h>

using namespace spindlecroft;
using test::replace_first;

static const std::string valid_job =
    R"({"uid":"job-1","lot":"l","crew":"red","shape":"array","rank":"urgent","threads":3,"cores":2.0,)"
    R"("memGb":4,"bobbin":"img","sizeGb":1.5,"samePlace":false,"scatter":true,"loaners":true,)"
    R"("reckonS":10.0,"knotS":0.0,"tieS":0.0,"dueS":null,"new-field":[1]})";

TEST(wire, submission_survives_a_round_trip_through_its_record) {
    auto spec = wire::parse_submission(valid_job);
    EXPECT_EQ(spec.priority, priority_class::high);
    EXPECT_FALSE(spec.deadline);
    EXPECT_TRUE(spec.spread_across_zones);
    wire::job_record record;
    record.cancelled = true;
    record.accepted_at = test::wall_at(12.5);
    record.spec = spec;
    auto parsed = wire::parse_job_record(wire::encode_job_record(record));
    EXPECT_TRUE(parsed.cancelled);
    EXPECT_EQ(wire::encode_job_spec(parsed.spec), wire::encode_job_spec(spec));
}

TEST(wire, error_of_an_invalid_submission_names_the_field) {
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
    for (auto &invalid : cases) {
        try {
            wire::parse_submission(replace_first(valid_job, invalid.from, invalid.to));
            ADD_FAILURE() << "accepted: " << invalid.to;
        } catch (const wire::malformed_message &error) {
            EXPECT_EQ(std::string(error.what()).rfind(invalid.field + ":", 0), 0u) << error.what();
        }
    }
    EXPECT_THROW((void)wire::parse_submission("[]"), wire::malformed_message);
    EXPECT_THROW((void)wire::parse_submission("{"), wire::malformed_message);
}

TEST(wire, done_parts_take_no_more_bytes_than_estimated) {
    std::vector<wire::done_part> parts;
    std::size_t estimated = 2;
    for (std::uint32_t part = 0; part < 12; ++part) {
        parts.push_back({"job-000412", part, std::vector<bool>(part == 3 ? 4096 : 4 * (part + 1))});
        for (std::size_t i = 0; i < parts.back().bits.size(); i += 7)
            parts.back().bits[i] = true;
        estimated += wire::done_part_bytes(parts.back().job, parts.back().bits.size());
    }
    auto text = wire::encode_done_parts(parts);
    EXPECT_LE(text.size(), estimated);
    EXPECT_LE(wire::done_part_bytes("job-000412", 4096), 1100u) << "fits the smallest value limit";
    auto parsed = wire::parse_done_parts(text);
    std::sort(parsed.begin(), parsed.end(),
              [](auto &left, auto &right) { return left.part < right.part; });
    EXPECT_EQ(parsed, parts);
    for (auto malformed :
         {"[]", R"({"job-1":"0"})", R"({"job-1/x":"0"})", R"({"job-1/0":"g"})", R"({"job-1/0":1})"})
        EXPECT_THROW((void)wire::parse_done_parts(malformed), wire::malformed_message) << malformed;
}

TEST(wire, placements_take_no_more_bytes_than_estimated) {
    std::vector<wire::placed_task> tasks;
    std::size_t estimated = 2;
    for (std::uint32_t i = 0; i < 90; ++i) {
        tasks.push_back({i < 40 ? "job-1" : "job-000002", i * 1000, ~0ull >> (i % 60),
                         std::string(1 + i % 24, 'i')});
        estimated += wire::placement_bytes(tasks.back());
    }
    auto text = wire::encode_placements(tasks);
    EXPECT_LE(text.size(), estimated);
    EXPECT_EQ(wire::parse_placements(text), tasks);
}

TEST(wire, peer_messages_survive_a_round_trip_and_malformed_ones_are_rejected) {
    wire::peer_message message;
    message.numbers["a"] = ~0ull;
    message.texts["b"] = "x";
    auto parsed = wire::parse_peer_message(wire::encode_peer_message(message));
    EXPECT_EQ(parsed.number("a"), ~0ull);
    EXPECT_EQ(parsed.text("b"), "x");
    EXPECT_THROW((void)wire::parse_peer_message("{}"), wire::malformed_message);
    EXPECT_THROW((void)wire::parse_peer_message(""), wire::malformed_message);
}

TEST(wire, heartbeat_task_states_and_exit_causes_are_parsed) {
    auto parsed = wire::parse_heartbeat(
        R"({"spindle":"i-1","address":"1.2.3.4:5","frame":"f","croft":"a","loaners":true,"shift":2,)"
        R"("tally":7,"warrant":3,"recallS":5.5,"threads":[{"thread":"job-1/12","try":4,)"
        R"("stage":"exited","cause":"halted","kept":true}]})");
    ASSERT_EQ(parsed.tasks.size(), 1u);
    EXPECT_EQ(parsed.tasks[0].index, 12u);
    EXPECT_EQ(parsed.tasks[0].cause, exit_cause::stopped);
    EXPECT_TRUE(parsed.tasks[0].checkpointed);
    EXPECT_DOUBLE_EQ(parsed.reclaim_notice->count(), 5.5);
    EXPECT_TRUE(parsed.is_newer_than(1, 99));
    EXPECT_FALSE(parsed.is_newer_than(2, 7));
}
