// Attributes failed attempts to a faulty machine or a faulty job by where they occur. Performs no
// I/O and reads no clock.
//
// One failed attempt is the fault of the machine or of the job and does not show which. A job that
// runs on another machine proves the machine faulty. A job that failed on two machines and runs on
// none is suspect: its failures say nothing about machines, and it is retried one task at a time.
#pragma once
#include "common/time.hpp"
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace spindlecroft::workers {

/// Records the failures of attempts and what they prove about jobs and machines.
class failure_ledger {
  public:
    /// One failed attempt.
    struct failure {
        std::string job, machine;
        seconds run_time{};          ///< For how long the attempt was seen running.
        bool is_job_working = false; ///< The job is known to run on other machines.
    };
    /// Records a failure. Returns true if it made the job suspect.
    bool record_failure(const failure &failed, time_point now);
    /// Records that an attempt placed at `created_at` was seen running on the machine or completed
    /// there.
    void note_machine_works(const std::string &machine, time_point created_at);
    /// Records that the job is known to run. Machines on which it failed, and which ran nothing
    /// since, are faulty.
    void note_job_works(const std::string &job);
    /// Drops the job's failures without blaming the machines on which they occurred.
    void forget_job(const std::string &job);
    void forget_machine(const std::string &machine);

    /// Returns the machines found faulty since the last call.
    std::set<std::string> take_faulty_machines();

    /// Whether the job failed on several machines and ran on none.
    bool is_suspect(const std::string &job) const;
    bool failed_on(const std::string &job, const std::string &machine) const;
    /// The number of machines on which the job failed.
    std::size_t failed_machine_count(const std::string &job) const;
    /// The time before which a suspect job must not be retried.
    time_point retry_at(const std::string &job) const;
    /// The end of the machine's probation: no new work before this, since an attempt failed there
    /// and neither job nor machine is proven faulty. time_point{} without a probation.
    time_point probation_until(const std::string &machine) const;
    /// An attempt that runs for longer than this proves that the job works.
    seconds required_run_time(const std::string &job) const;
    /// Jobs with recorded failures that are not proven to work, for the periodic review.
    std::vector<std::string> jobs_with_failures() const;

    /// The suspect jobs, which are stored in a record so that they survive a failover.
    std::vector<std::string> suspects() const;
    /// Marks the job as suspect, as recorded by an earlier leader.
    void restore_suspect(const std::string &job, time_point now);

  private:
    struct job_entry {
        std::map<std::string, time_point> failed_at; ///< Latest failure by machine.
        seconds longest_failed_run{};
        time_point retry_at{};
        int suspect_failures = 0; ///< Failures that extended the retry pause.
        bool is_suspect = false;
    };
    struct machine_entry {
        /// Jobs that failed on the machine and are neither suspect nor known to run.
        std::set<std::string> unattributed_jobs;
        time_point probation_until{};
        /// Creation time of the latest attempt that ran on the machine.
        time_point last_working_attempt_at{};
    };
    void make_suspect(const std::string &job, job_entry &entry, time_point now);
    /// Drops the job from the unattributed failures of the machines on which it failed.
    void clear_machines(const std::string &job, const job_entry &entry);
    /// Starts the next, longer retry pause unless one is in progress.
    static void delay_retry(job_entry &entry, time_point now);

    std::map<std::string, job_entry> jobs_;
    std::map<std::string, machine_entry> machines_;
    std::set<std::string> faulty_;
};

} // namespace spindlecroft::workers
