// The components that keep durable records, each tested alone on a small cluster state.
#include "builders.hpp"
#include "constants.hpp"
#include "model/cluster_state.hpp"
#include "records/done_records.hpp"
#include "records/job_ends.hpp"
#include "records/placement_records.hpp"
#include "records/record_cleanup.hpp"
#include "test_time.hpp"
#include "wire/codec.hpp"
#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace std::chrono_literals;
using catalog::attempt_phase;
using records::durable_write;
using test::at;

namespace {

struct small_cluster {
    settings::settings settings = test::small_settings();
    model::cluster_state state{settings, test::small_types()};

    small_cluster() {
        state.begin_term({7, 7, at(0), {}});
        auto &machine = state.find_or_add_machine("i-1", at(0));
        state.update_description(machine, "small", "a", false, "");
        machine.is_up = true;
    }

    catalog::job &add_job(const std::string &id, std::uint32_t tasks) {
        catalog::job added;
        added.spec = test::small_job(id);
        added.spec.tasks = tasks;
        added.record_revision = 1;
        added.done.assign(tasks, false);
        added.done_durable.assign(tasks, false);
        return state.add_job(id, std::move(added));
    }

    catalog::attempt &add_attempt(catalog::job &job, std::uint32_t index,
                                  attempt_phase phase = attempt_phase::committing) {
        catalog::attempt added;
        added.task = {job.spec.id, index};
        added.number = state.next_attempt_number();
        added.machine = "i-1";
        added.phase = phase;
        return state.add_attempt(job, std::move(added));
    }

    // Adds a task whose placement is still to be recorded.
    void add_unplaced(records::placement_records &placements, const std::string &id) {
        auto &added = state.find_job(id) ? *state.find_job(id) : add_job(id, 1);
        add_attempt(added, 0);
        placements.add({id, 0}, added.spec.shape);
    }
};

template <class Part>
std::vector<durable_write> writes_of(Part &part, time_point now) {
    std::vector<durable_write> out;
    part.take_writes(out, now);
    return out;
}

std::vector<durable_write> done_writes(records::done_records &part, time_point now) {
    std::vector<durable_write> out;
    std::size_t max_writes = 100;
    part.take_writes(out, now, max_writes);
    return out;
}

void report_done(records::done_records &part, catalog::job &job, std::uint32_t index,
                 time_point now) {
    job.done[index] = true;
    ++job.reported_done_count;
    part.note_done(job, index, now);
}

} // namespace

// --- placements ---

TEST(placement_records, jobs_per_write_are_limited_by_its_conditions) {
    small_cluster cluster;
    cluster.settings.txn_ops = 4; // 16 conditions, 2 of them for the fence and the record
    records::placement_records placements(cluster.settings, cluster.state);
    for (int number = 0; number < 20; ++number)
        cluster.add_unplaced(placements, fmt::format("job-{}", number));
    auto writes = writes_of(placements, at(1));
    ASSERT_EQ(writes.size(), 1u);
    EXPECT_EQ(writes.front().conditions.size(), 14u);
    EXPECT_EQ(writes.front().placed_attempts.size(), 14u);
    placements.on_written(writes.front(), true, at(1));
    writes = writes_of(placements, at(100));
    ASSERT_EQ(writes.size(), 1u);
    EXPECT_EQ(writes.front().placed_attempts.size(), 6u);
    EXPECT_EQ(wire::parse_placements(writes.front().ops.front().value).size(), 20u)
        << "the record still names the first 14";
}

TEST(placement_records, a_record_is_not_rewritten_while_a_write_is_in_flight) {
    small_cluster cluster;
    records::placement_records placements(cluster.settings, cluster.state);
    cluster.add_unplaced(placements, "first");
    auto writes = writes_of(placements, at(1));
    ASSERT_EQ(writes.size(), 1u);
    cluster.add_unplaced(placements, "second");
    EXPECT_TRUE(writes_of(placements, at(100)).empty());
    placements.on_written(writes.front(), true, at(100));
    EXPECT_EQ(writes_of(placements, at(100)).size(), 1u);
}

TEST(placement_records, an_attempt_is_committed_once_its_placement_is_durable) {
    small_cluster cluster;
    records::placement_records placements(cluster.settings, cluster.state);
    cluster.add_unplaced(placements, "job");
    auto writes = writes_of(placements, at(1));
    ASSERT_EQ(writes.size(), 1u);
    EXPECT_EQ(cluster.state.find_attempt({"job", 0})->phase, attempt_phase::committing);
    placements.on_written(writes.front(), true, at(2));
    const auto *placed = cluster.state.find_attempt({"job", 0});
    ASSERT_NE(placed, nullptr);
    EXPECT_EQ(placed->phase, attempt_phase::committed);
}

TEST(placement_records, a_refused_placement_is_dropped_and_its_job_pauses) {
    small_cluster cluster;
    records::placement_records placements(cluster.settings, cluster.state);
    cluster.add_unplaced(placements, "job");
    auto writes = writes_of(placements, at(1));
    ASSERT_EQ(writes.size(), 1u);
    placements.on_written(writes.front(), false, at(2));
    EXPECT_EQ(cluster.state.find_attempt({"job", 0}), nullptr);
    EXPECT_EQ(cluster.state.find_job("job")->next_write_at,
              at(2) + constants::key_value_retry_delay);
}

TEST(placement_records, services_and_arrays_do_not_share_records) {
    small_cluster cluster;
    records::placement_records placements(cluster.settings, cluster.state);
    auto &service = cluster.add_job("service", 1);
    service.spec.shape = job_shape::service;
    cluster.add_unplaced(placements, "service");
    cluster.add_unplaced(placements, "array");
    auto writes = writes_of(placements, at(1));
    ASSERT_EQ(writes.size(), 2u);
    EXPECT_EQ(writes[0].placed_attempts.front().task.job, "array") << "arrays go first";
    EXPECT_EQ(writes[1].placed_attempts.front().task.job, "service");
    EXPECT_NE(writes[0].record_name, writes[1].record_name);
}

// --- done tasks ---

TEST(done_records, a_done_task_is_durable_once_its_record_is_written) {
    small_cluster cluster;
    records::done_records done(cluster.settings, cluster.state);
    auto &job = cluster.add_job("job", 3);
    report_done(done, job, 1, at(1));
    auto writes = done_writes(done, at(1) + constants::done_record_delay);
    ASSERT_EQ(writes.size(), 1u);
    auto parts = wire::parse_done_parts(writes.front().ops.front().value);
    ASSERT_EQ(parts.size(), 1u);
    EXPECT_EQ(parts.front().bits, (std::vector<bool>{false, true, false, false}))
        << "whole hexadecimal digits";
    EXPECT_EQ(job.durable_done_count, 0u);
    done.on_written(writes.front(), true, at(10));
    EXPECT_EQ(job.durable_done_count, 1u);
    EXPECT_TRUE(job.done_durable[1]);
}

TEST(done_records, a_part_of_an_oversized_record_moves_to_another_record) {
    small_cluster cluster;
    auto &job = cluster.add_job("job", 3);
    auto limit = cluster.settings.value_kb;
    cluster.settings.value_kb = 0; // no record fits any more
    records::done_records done(cluster.settings, cluster.state);
    done.load("3-1", {{"job", 0, {true, false, false}}});
    ASSERT_EQ(job.done_record_of_part[0], "3-1");
    cluster.settings.value_kb = limit;
    report_done(done, job, 1, at(1));
    EXPECT_EQ(job.done_record_of_part[0], "7-1");
    auto writes = done_writes(done, at(1) + constants::done_record_delay);
    ASSERT_EQ(writes.size(), 1u);
    EXPECT_EQ(writes.front().record_name, "7-1");
}

TEST(done_records, a_refused_write_is_retried_after_a_pause) {
    small_cluster cluster;
    records::done_records done(cluster.settings, cluster.state);
    auto &job = cluster.add_job("job", 3);
    report_done(done, job, 1, at(1));
    auto writes = done_writes(done, at(10));
    ASSERT_EQ(writes.size(), 1u);
    done.on_written(writes.front(), false, at(10));
    EXPECT_FALSE(job.done_durable[1]);
    EXPECT_TRUE(done_writes(done, at(10) + constants::key_value_retry_delay / 2).empty());
    EXPECT_EQ(done_writes(done, at(10) + constants::key_value_retry_delay * 2).size(), 1u);
}

// --- ends of jobs ---

TEST(job_ends, a_job_ends_only_after_every_attempt_has_exited) {
    small_cluster cluster;
    records::job_ends ends(cluster.state);
    auto &job = cluster.add_job("job", 1);
    job.done[0] = true;
    job.reported_done_count = 1;
    auto &attempt = cluster.add_attempt(job, 0, attempt_phase::running);
    EXPECT_TRUE(writes_of(ends, at(1)).empty());
    attempt.phase = attempt_phase::exited;
    auto writes = writes_of(ends, at(2));
    ASSERT_EQ(writes.size(), 1u);
    EXPECT_TRUE(writes_of(ends, at(2)).empty()) << "one write is enough";
    auto end = ends.on_written(writes.front(), true, at(3));
    ASSERT_TRUE(end);
    EXPECT_EQ(end->state, job_state::done);
    EXPECT_EQ(cluster.state.find_job("job"), nullptr);
}

TEST(job_ends, a_refused_end_is_retried_after_a_pause) {
    small_cluster cluster;
    records::job_ends ends(cluster.state);
    cluster.add_job("job", 1).cancelled = true;
    auto writes = writes_of(ends, at(1));
    ASSERT_EQ(writes.size(), 1u);
    EXPECT_FALSE(ends.on_written(writes.front(), false, at(2)));
    EXPECT_TRUE(writes_of(ends, at(2)).empty());
    EXPECT_EQ(writes_of(ends, at(2) + constants::key_value_retry_delay).size(), 1u);
}

// --- cleanup ---

TEST(record_cleanup, a_closed_record_is_deleted_once_its_placements_have_ended) {
    small_cluster cluster;
    records::placement_records placements(cluster.settings, cluster.state);
    records::done_records done(cluster.settings, cluster.state);
    records::record_cleanup cleanup;
    auto &job = cluster.add_job("job", 1);
    placements.load("3-1", {{"job", 0, 1, "i-1"}}, at(1));
    cleanup.sweep(placements, done, at(1));
    std::vector<durable_write> out;
    std::size_t max_writes = 1;
    cleanup.take_writes(out, max_writes);
    EXPECT_TRUE(out.empty());
    cluster.state.release_attempt(job, 0, true);
    cleanup.sweep(placements, done, at(1) + constants::record_cleanup_interval);
    cleanup.take_writes(out, max_writes);
    ASSERT_EQ(out.size(), 1u);
    EXPECT_EQ(out.front().ops.front().key, "p/3-1");
    EXPECT_TRUE(out.front().ops.front().value.empty());
    EXPECT_EQ(max_writes, 0u);
}
