// Attribution of failed attempts to machines or jobs.
#include "workers/failure_ledger.hpp"
#include "constants.hpp"
#include <algorithm>
#include <cmath>
#include <utility>

namespace spindlecroft::workers {

bool failure_ledger::record_failure(const failure &failed, time_point now) {
    auto &machine = machines_[failed.machine];
    if (failed.is_job_working) {
        faulty_.insert(failed.machine);
        return false;
    }
    auto &job = jobs_[failed.job];
    job.failed_at[failed.machine] = now;
    job.longest_failed_run = std::max(job.longest_failed_run, failed.run_time);
    if (job.is_suspect) {
        delay_retry(job, now);
        return false;
    }
    if (job.failed_at.size() >= constants::suspect_job_machines) {
        make_suspect(failed.job, job, now);
        return true;
    }
    machine.unattributed_jobs.insert(failed.job);
    machine.probation_until = now + constants::machine_probation;
    if (machine.unattributed_jobs.size() >= constants::faulty_machine_jobs)
        faulty_.insert(failed.machine);
    return false;
}

void failure_ledger::make_suspect(const std::string &job, job_entry &entry, time_point now) {
    entry.is_suspect = true;
    delay_retry(entry, now);
    clear_machines(job, entry);
}

// Prevents the deletion of healthy machines on which several faulty jobs failed.
void failure_ledger::clear_machines(const std::string &job, const job_entry &entry) {
    for (auto &[machine, failed_at] : entry.failed_at) {
        auto known = machines_.find(machine);
        if (known == machines_.end())
            continue;
        known->second.unattributed_jobs.erase(job);
        if (known->second.unattributed_jobs.empty())
            known->second.probation_until = {};
    }
}

void failure_ledger::delay_retry(job_entry &entry, time_point now) {
    if (now < entry.retry_at)
        return; // a failure of the same wave of attempts
    auto pause =
        constants::initial_job_backoff * std::pow(2.0, std::min(entry.suspect_failures, 10));
    entry.retry_at = now + std::min(pause, constants::max_job_backoff);
    ++entry.suspect_failures;
}

void failure_ledger::note_machine_works(const std::string &machine, time_point created_at) {
    auto found = machines_.find(machine);
    if (found == machines_.end())
        return; // no attempt failed on this machine
    auto &entry = found->second;
    entry.last_working_attempt_at = std::max(entry.last_working_attempt_at, created_at);
    for (auto name = entry.unattributed_jobs.begin(); name != entry.unattributed_jobs.end();) {
        auto job = jobs_.find(*name);
        bool failed_before = job == jobs_.end() || job->second.failed_at[machine] < created_at;
        name = failed_before ? entry.unattributed_jobs.erase(name) : std::next(name);
    }
    if (entry.unattributed_jobs.empty())
        entry.probation_until = {};
}

void failure_ledger::note_job_works(const std::string &job) {
    auto known = jobs_.find(job);
    if (known == jobs_.end())
        return;
    for (auto &[machine, failed_at] : known->second.failed_at) {
        auto host = machines_.find(machine);
        bool ran_since =
            host != machines_.end() && host->second.last_working_attempt_at > failed_at;
        if (!ran_since)
            faulty_.insert(machine);
    }
    clear_machines(job, known->second);
    jobs_.erase(known);
}

void failure_ledger::forget_job(const std::string &job) {
    auto known = jobs_.find(job);
    if (known == jobs_.end())
        return;
    clear_machines(job, known->second);
    jobs_.erase(known);
}

void failure_ledger::forget_machine(const std::string &machine) {
    machines_.erase(machine);
    faulty_.erase(machine);
}

std::set<std::string> failure_ledger::take_faulty_machines() {
    return std::exchange(faulty_, {});
}

bool failure_ledger::is_suspect(const std::string &job) const {
    auto known = jobs_.find(job);
    return known != jobs_.end() && known->second.is_suspect;
}

bool failure_ledger::failed_on(const std::string &job, const std::string &machine) const {
    auto known = jobs_.find(job);
    return known != jobs_.end() && known->second.failed_at.count(machine) > 0;
}

std::size_t failure_ledger::failed_machine_count(const std::string &job) const {
    auto known = jobs_.find(job);
    return known == jobs_.end() ? 0 : known->second.failed_at.size();
}

time_point failure_ledger::retry_at(const std::string &job) const {
    auto known = jobs_.find(job);
    return known == jobs_.end() ? time_point{} : known->second.retry_at;
}

time_point failure_ledger::probation_until(const std::string &machine) const {
    auto known = machines_.find(machine);
    return known == machines_.end() ? time_point{} : known->second.probation_until;
}

seconds failure_ledger::required_run_time(const std::string &job) const {
    auto known = jobs_.find(job);
    auto longest_failed_run = known == jobs_.end() ? seconds{0} : known->second.longest_failed_run;
    return constants::min_proof_run_time + constants::proof_run_time_ratio * longest_failed_run;
}

std::vector<std::string> failure_ledger::jobs_with_failures() const {
    std::vector<std::string> names;
    for (auto &[job, entry] : jobs_)
        names.push_back(job);
    return names;
}

std::vector<std::string> failure_ledger::suspects() const {
    std::vector<std::string> names;
    for (auto &[job, entry] : jobs_)
        if (entry.is_suspect)
            names.push_back(job);
    return names;
}

void failure_ledger::restore_suspect(const std::string &job, time_point now) {
    auto &entry = jobs_[job];
    entry.is_suspect = true;
    delay_retry(entry, now);
}

} // namespace spindlecroft::workers
