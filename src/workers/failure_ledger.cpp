#include "workers/failure_ledger.hpp"
#include "constants.hpp"
#include <algorithm>
#include <cmath>
#include <utility>

namespace spindlecroft::workers {

namespace c = constants;

bool failure_ledger::record_failure(const failure &found, time_point now) {
    auto &machine = machines_[found.machine];
    if (found.is_job_working) {
        faulty_.insert(found.machine);
        return false;
    }
    auto &job = jobs_[found.job];
    job.failed_at[found.machine] = now;
    job.longest_run = std::max(job.longest_run, found.run_time);
    if (job.suspect) {
        delay_retry(job, now);
        return false;
    }
    if (job.failed_at.size() >= c::suspect_job_machines) {
        make_suspect(found.job, job, now);
        return true;
    }
    machine.unattributed_jobs.insert(found.job);
    machine.probation_until = now + c::machine_probation;
    if (machine.unattributed_jobs.size() >= c::faulty_machine_jobs)
        faulty_.insert(found.machine);
    return false;
}

void failure_ledger::make_suspect(const std::string &job, job_entry &entry, time_point now) {
    entry.suspect = true;
    delay_retry(entry, now);
    clear_machines(job, entry);
}

// Guards against healthy machines that are given back because faulty jobs met on them.
void failure_ledger::clear_machines(const std::string &job, const job_entry &entry) {
    for (auto &[machine, at] : entry.failed_at) {
        auto i = machines_.find(machine);
        if (i == machines_.end())
            continue;
        i->second.unattributed_jobs.erase(job);
        if (i->second.unattributed_jobs.empty())
            i->second.probation_until = {};
    }
}

void failure_ledger::delay_retry(job_entry &entry, time_point now) {
    if (now < entry.retry_at)
        return; // of the same wave of attempts
    auto pause = c::initial_job_backoff * std::pow(2.0, std::min(entry.suspect_failures, 10));
    entry.retry_at = now + std::min(pause, c::max_job_backoff);
    ++entry.suspect_failures;
}

void failure_ledger::note_machine_works(const std::string &machine, time_point created_at) {
    auto found = machines_.find(machine);
    if (found == machines_.end())
        return; // nothing failed there
    auto &entry = found->second;
    entry.last_working_attempt_at = std::max(entry.last_working_attempt_at, created_at);
    for (auto i = entry.unattributed_jobs.begin(); i != entry.unattributed_jobs.end();) {
        auto job = jobs_.find(*i);
        bool older = job == jobs_.end() || job->second.failed_at[machine] < created_at;
        i = older ? entry.unattributed_jobs.erase(i) : std::next(i);
    }
    if (entry.unattributed_jobs.empty())
        entry.probation_until = {};
}

void failure_ledger::note_job_works(const std::string &job) {
    auto i = jobs_.find(job);
    if (i == jobs_.end())
        return;
    for (auto &[machine, failed_at] : i->second.failed_at) {
        auto known = machines_.find(machine);
        bool ran_since =
            known != machines_.end() && known->second.last_working_attempt_at > failed_at;
        if (!ran_since)
            faulty_.insert(machine);
    }
    clear_machines(job, i->second);
    jobs_.erase(i);
}

void failure_ledger::forget_job(const std::string &job) {
    auto i = jobs_.find(job);
    if (i == jobs_.end())
        return;
    clear_machines(job, i->second);
    jobs_.erase(i);
}

void failure_ledger::forget_machine(const std::string &machine) {
    machines_.erase(machine);
    faulty_.erase(machine);
}

std::set<std::string> failure_ledger::take_faulty_machines() {
    return std::exchange(faulty_, {});
}

bool failure_ledger::is_suspect(const std::string &job) const {
    auto i = jobs_.find(job);
    return i != jobs_.end() && i->second.suspect;
}

bool failure_ledger::failed_on(const std::string &job, const std::string &machine) const {
    auto i = jobs_.find(job);
    return i != jobs_.end() && i->second.failed_at.count(machine) > 0;
}

std::size_t failure_ledger::failed_machine_count(const std::string &job) const {
    auto i = jobs_.find(job);
    return i == jobs_.end() ? 0 : i->second.failed_at.size();
}

time_point failure_ledger::retry_at(const std::string &job) const {
    auto i = jobs_.find(job);
    return i == jobs_.end() ? time_point{} : i->second.retry_at;
}

time_point failure_ledger::probation_until(const std::string &machine) const {
    auto i = machines_.find(machine);
    return i == machines_.end() ? time_point{} : i->second.probation_until;
}

seconds failure_ledger::required_run_time(const std::string &job) const {
    auto i = jobs_.find(job);
    auto failed_run = i == jobs_.end() ? seconds{0} : i->second.longest_run;
    return c::min_proof_run_time + c::proof_run_time_ratio * failed_run;
}

std::vector<std::string> failure_ledger::jobs_with_failures() const {
    std::vector<std::string> out;
    for (auto &[job, entry] : jobs_)
        out.push_back(job);
    return out;
}

std::vector<std::string> failure_ledger::suspects() const {
    std::vector<std::string> out;
    for (auto &[job, entry] : jobs_)
        if (entry.suspect)
            out.push_back(job);
    return out;
}

void failure_ledger::restore_suspect(const std::string &job, time_point now) {
    auto &entry = jobs_[job];
    entry.suspect = true;
    delay_retry(entry, now);
}

} // namespace spindlecroft::workers
