// Attribution of failed attempts: which failures prove a machine faulty, and which prove a job
// faulty.
#include "constants.hpp"
#include "test_time.hpp"
#include "wire/codec.hpp"
#include "workers/failure_ledger.hpp"
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace std::chrono_literals;
using names = std::set<std::string>;
using test::at;

namespace {

bool fail(workers::failure_ledger &ledger, const std::string &job, const std::string &machine,
          time_point now, bool is_job_working = false) {
    return ledger.record_failure({job, machine, 0s, is_job_working}, now);
}

} // namespace

TEST(failure_ledger, machine_that_fails_a_working_job_is_faulty_at_once) {
    workers::failure_ledger ledger;
    fail(ledger, "job-1", "i-1", at(10), true);
    EXPECT_EQ(ledger.take_faulty_machines(), names{"i-1"});
    EXPECT_TRUE(ledger.take_faulty_machines().empty());
}

TEST(failure_ledger, machine_is_on_probation_until_the_job_runs_elsewhere) {
    workers::failure_ledger ledger;
    fail(ledger, "job-1", "i-1", at(10));
    EXPECT_TRUE(ledger.take_faulty_machines().empty());
    EXPECT_GT(ledger.probation_until("i-1"), at(10));
    ledger.note_job_works("job-1");
    EXPECT_EQ(ledger.take_faulty_machines(), names{"i-1"});
}

// Guards against quarantining healthy machines on which several faulty jobs failed. On a day when
// one job in twenty was submitted with a mistake, 154 machines were deleted for that reason.
TEST(failure_ledger, faulty_jobs_prove_no_machine_faulty) {
    workers::failure_ledger ledger;
    time_point now{};
    for (int round = 0; round < 20; ++round)
        for (auto *job : {"job-1", "job-2", "job-3", "job-4", "job-5"})
            for (auto *machine : {"i-1", "i-2", "i-3"})
                fail(ledger, job, machine, now += seconds{0.5});
    EXPECT_TRUE(ledger.take_faulty_machines().empty());
    for (auto *machine : {"i-1", "i-2", "i-3"})
        EXPECT_EQ(ledger.probation_until(machine), at(0)) << machine;
    EXPECT_TRUE(ledger.is_suspect("job-1"));
}

TEST(failure_ledger, faulty_machine_is_found_among_faulty_jobs) {
    workers::failure_ledger ledger;
    fail(ledger, "faulty-job", "i-1", at(1));
    fail(ledger, "faulty-job", "i-2", at(2));
    fail(ledger, "good-job", "i-1", at(3));
    ledger.note_job_works("good-job");
    EXPECT_EQ(ledger.take_faulty_machines(), names{"i-1"});
}

TEST(failure_ledger, job_that_failed_on_two_machines_proves_both_faulty_once_it_runs) {
    workers::failure_ledger ledger;
    fail(ledger, "job-1", "i-1", at(1));
    EXPECT_TRUE(fail(ledger, "job-1", "i-2", at(2)));
    EXPECT_TRUE(ledger.is_suspect("job-1"));
    ledger.note_job_works("job-1");
    EXPECT_FALSE(ledger.is_suspect("job-1"));
    EXPECT_EQ(ledger.take_faulty_machines(), (names{"i-1", "i-2"}));
}

TEST(failure_ledger, machine_that_ran_an_attempt_since_the_failure_is_not_faulty) {
    workers::failure_ledger ledger;
    fail(ledger, "job-1", "i-1", at(1));
    ledger.note_machine_works("i-1", at(0.5)); // placed before the failure, so it proves nothing
    EXPECT_GT(ledger.probation_until("i-1"), at(1));
    ledger.note_machine_works("i-1", at(2));
    EXPECT_EQ(ledger.probation_until("i-1"), at(0));
    ledger.note_job_works("job-1");
    EXPECT_TRUE(ledger.take_faulty_machines().empty());
}

TEST(failure_ledger, machine_that_fails_several_jobs_is_faulty_even_if_they_run_nowhere_else) {
    workers::failure_ledger ledger;
    for (std::size_t count = 0; count < constants::faulty_machine_jobs; ++count) {
        EXPECT_TRUE(ledger.take_faulty_machines().empty());
        fail(ledger, "job-" + std::to_string(count), "i-1", at(static_cast<double>(count)));
    }
    EXPECT_EQ(ledger.take_faulty_machines(), names{"i-1"});
}

TEST(failure_ledger, suspect_job_is_retried_at_growing_intervals) {
    workers::failure_ledger ledger;
    fail(ledger, "job-1", "i-1", at(0));
    EXPECT_EQ(ledger.retry_at("job-1"), at(0));
    fail(ledger, "job-1", "i-2", at(0));
    auto first = ledger.retry_at("job-1");
    EXPECT_EQ(first, at(0) + constants::initial_job_backoff);
    fail(ledger, "job-1", "i-3", at(1)); // of the same wave of attempts
    EXPECT_EQ(ledger.retry_at("job-1"), first);
    auto now = first;
    for (int retry = 0; retry < 20; ++retry) {
        fail(ledger, "job-1", "i-4", now);
        EXPECT_GT(ledger.retry_at("job-1"), now);
        EXPECT_LE(ledger.retry_at("job-1"), now + constants::max_job_backoff);
        now = ledger.retry_at("job-1");
    }
    EXPECT_EQ(ledger.retry_at("job-1"), now);
    fail(ledger, "job-1", "i-4", now);
    EXPECT_EQ(ledger.retry_at("job-1"), now + constants::max_job_backoff);
}

TEST(failure_ledger, job_that_failed_late_must_run_longer_to_count_as_working) {
    workers::failure_ledger ledger;
    EXPECT_EQ(ledger.required_run_time("job-1"), constants::min_proof_run_time);
    ledger.record_failure({"job-1", "i-1", 8s, false}, at(10));
    EXPECT_GT(ledger.required_run_time("job-1"), 8s * constants::proof_run_time_ratio);
}

TEST(failure_ledger, suspects_survive_a_failover) {
    workers::failure_ledger ledger;
    fail(ledger, "job-1", "i-1", at(0));
    fail(ledger, "job-1", "i-2", at(0));
    fail(ledger, "job-2", "i-3", at(0));
    auto record = wire::encode_suspects(ledger.suspects());
    EXPECT_LE(record.size(), wire::suspects_bytes("") + wire::suspects_bytes("job-1"));
    workers::failure_ledger successor;
    for (auto &job : wire::parse_suspects(record))
        successor.restore_suspect(job, at(5));
    EXPECT_TRUE(successor.is_suspect("job-1"));
    EXPECT_FALSE(successor.is_suspect("job-2"));
    EXPECT_FALSE(fail(successor, "job-1", "i-1", at(20)));
    EXPECT_EQ(successor.probation_until("i-1"), at(0));
    EXPECT_THROW((void)wire::parse_suspects(R"({"jobs":[1]})"), wire::malformed_message);
    EXPECT_THROW((void)wire::parse_suspects(R"({})"), wire::malformed_message);
}
