// Compatibility with the version in production: its records and messages can be parsed, and those
// that are written now can be parsed by it. tests/compatibility/README.md explains how the samples
// were made.
#include "test_time.hpp"
#include "wire/codec.hpp"
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

using namespace spindlecroft;
using namespace std::chrono_literals;

namespace {

std::string sample(const std::string &name) {
    std::ifstream file(std::string(SPINDLECROFT_SAMPLES) + "/" + name);
    EXPECT_TRUE(file) << name;
    std::stringstream text;
    text << file.rdbuf();
    auto value = text.str();
    while (!value.empty() && value.back() == '\n')
        value.pop_back();
    return value;
}

std::string message(const std::string &name) {
    auto hex = sample("messages/" + name + ".hex");
    std::string bytes;
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
        bytes += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
    return bytes;
}

} // namespace

// Records of jobs without predecessors are byte for byte those of the version in production.
TEST(compatibility, records_of_jobs_without_predecessors_are_unchanged) {
    for (auto *name : {"job_array", "job_service", "job_cancelled"}) {
        auto value = sample(std::string("records/") + name + ".json");
        auto record = wire::parse_job_record(value);
        EXPECT_TRUE(record.spec.predecessors.empty());
        EXPECT_EQ(wire::encode_job_record(record), value) << name;
    }
    auto record = wire::parse_job_record(sample("records/job_cancelled.json"));
    EXPECT_TRUE(record.cancelled);
    EXPECT_EQ(record.cancelled_at, test::wall_at(1764668460.75));
    EXPECT_EQ(record.spec.tasks, 16u);
    EXPECT_EQ(record.spec.deadline, 900s);
}

TEST(compatibility, shared_records_are_unchanged) {
    auto placed = sample("records/placed.json");
    EXPECT_EQ(wire::parse_placements(placed).size(), 3u);
    EXPECT_EQ(wire::encode_placements(wire::parse_placements(placed)), placed);
    auto done = sample("records/done.json");
    EXPECT_EQ(wire::parse_done_parts(done).front().bits.front(), true);
    EXPECT_EQ(wire::encode_done_parts(wire::parse_done_parts(done)), done);
    auto rentals = sample("records/rentals.json");
    EXPECT_EQ(wire::parse_rental_record(rentals).requests.at(1).count, 50);
    EXPECT_EQ(wire::encode_rental_record(wire::parse_rental_record(rentals)), rentals);
    auto suspects = sample("records/suspects.json");
    EXPECT_EQ(wire::encode_suspects(wire::parse_suspects(suspects)), suspects);
    auto leader = sample("records/leader.json");
    EXPECT_EQ(wire::encode_leader_record(wire::parse_leader_record(leader)), leader);
    auto types = sample("records/types.json");
    EXPECT_EQ(wire::encode_machine_types(wire::parse_machine_types(types)), types);
}

// The end time is a new field: production ignores it, and its records don't have it.
TEST(compatibility, ended_records_differ_in_a_field_that_production_ignores) {
    auto value = sample("records/ended_done.json");
    auto record = wire::parse_ended_record(value);
    EXPECT_EQ(record.state, job_state::done);
    EXPECT_EQ(record.done, 16u);
    EXPECT_EQ(record.ended_at, std::nullopt);
    EXPECT_EQ(wire::encode_ended_record(record), value);
    record.ended_at = test::wall_at(12.5);
    EXPECT_EQ(wire::parse_ended_record(wire::encode_ended_record(record)).ended_at,
              test::wall_at(12.5));
    EXPECT_TRUE(wire::encode_ended_record(record).starts_with(value.substr(0, value.size() - 1)));
    EXPECT_EQ(wire::parse_ended_record(sample("records/ended_cancelled.json")).state,
              job_state::cancelled);
}

TEST(compatibility, messages_between_controllers_are_unchanged) {
    for (auto *name : {"promise_question", "promise_answer", "release", "progress_question",
                       "progress_answer"}) {
        auto bytes = message(name);
        EXPECT_EQ(wire::encode_peer_message(wire::parse_peer_message(bytes)), bytes) << name;
    }
    EXPECT_EQ(wire::parse_peer_message(message("promise_answer")).cancels.at(0).job, "job-000412");
    EXPECT_EQ(wire::parse_peer_message(message("promise_question")).number("cancels_after"), 17u);
}

// Guards against a controller of the version in production that starts a job too early because it
// ignores the list of predecessors: it requires the field "job" and rejects a record without it.
TEST(compatibility, production_rejects_the_record_of_a_job_with_predecessors) {
    auto record = wire::parse_job_record(sample("records/job_array.json"));
    record.spec.predecessors = {"job-000398", "job-000405"};
    auto value = wire::encode_job_record(record);
    EXPECT_EQ(value.find("\"job\":"), std::string::npos);
    EXPECT_EQ(wire::parse_job_record(value).spec.predecessors, record.spec.predecessors);
    // A cancelled job no longer waits for predecessors, and production may read it again.
    record.cancelled = true;
    record.spec.predecessors.clear();
    EXPECT_NE(wire::encode_job_record(record).find("\"job\":"), std::string::npos);
}
