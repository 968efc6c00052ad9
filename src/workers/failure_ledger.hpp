// Tells faulty machines from faulty jobs by where attempts fail. Pure: no I/O, time comes in.
//
// One failed attempt is the fault of the machine or of the job, and does not say which. A job that
// runs on another machine proves the machine faulty. A job that fails on two machines and runs on
// none is suspect: its failures say nothing about machines, and it is retried one task at a time.
#pragma once
#include "common/time.hpp"
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace spindlecroft::workers {

class failure_ledger {
  public:
    struct failure {
        std::string job, machine;
        seconds run_time{};          // how long the attempt was seen running
        bool is_job_working = false; // the job is known to run on other machines
    };
    // Returns true if this made the job suspect.
    bool record_failure(const failure &found, time_point now);
    // An attempt placed at created_at was seen running on, or completed by, the machine.
    void note_machine_works(const std::string &machine, time_point created_at);
    // The job is known to run. Machines on which it failed, and which ran nothing since, are
    // faulty.
    void note_job_works(const std::string &job);
    void forget_job(const std::string &job);
    void forget_machine(const std::string &machine);

    // Machines found faulty since the last call.
    std::set<std::string> take_faulty_machines();

    bool is_suspect(const std::string &job) const;
    bool failed_on(const std::string &job, const std::string &machine) const;
    // On how many machines the job failed.
    std::size_t failed_machine_count(const std::string &job) const;
    // The time before which a suspect job is not retried.
    time_point retry_at(const std::string &job) const;
    // While it is not known whose fault a failure was, the machine gets no new work until then.
    // time_point{}: it is on no probation.
    time_point probation_until(const std::string &machine) const;
    // An attempt that runs for longer than this shows that the job works.
    seconds required_run_time(const std::string &job) const;
    // Jobs with a failure that do not count as working, to be looked at from time to time.
    std::vector<std::string> jobs_with_failures() const;

    // The suspect jobs survive a change of leader in a record.
    std::vector<std::string> suspects() const;
    void restore_suspect(const std::string &job, time_point now);

  private:
    struct job_entry {
        std::map<std::string, time_point> failed_at; // by machine
        seconds longest_run{};
        time_point retry_at{};
        int suspect_failures = 0;
        bool suspect = false;
    };
    struct machine_entry {
        std::set<std::string>
            unattributed_jobs; // jobs that failed there and are neither suspect nor run
        time_point probation_until{};
        time_point last_working_attempt_at{}; // creation of the latest attempt that ran there
    };
    void make_suspect(const std::string &job, job_entry &entry, time_point now);
    void clear_machines(const std::string &job, const job_entry &entry);
    static void delay_retry(job_entry &entry, time_point now);

    std::map<std::string, job_entry> jobs_;
    std::map<std::string, machine_entry> machines_;
    std::set<std::string> faulty_;
};

} // namespace spindlecroft::workers
