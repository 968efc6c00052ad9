#include "records/suspect_record.hpp"
#include "constants.hpp"
#include "records/record_sizes.hpp"
#include "store/keys.hpp"
#include "wire/codec.hpp"
#include <cstddef>
#include <utility>

namespace spindlecroft::records {

void suspect_record::load(const std::vector<std::string> &jobs, time_point now) {
    stored_suspects_ = jobs;
    for (const auto &id : jobs)
        if (state_.find_job(id))
            state_.failures().restore_suspect(id, now);
}

// Makes the suspects durable. Otherwise a new leader would retry every task of a job that fails on
// all machines, and attribute the failures to the machines.
void suspect_record::take_writes(std::vector<durable_write> &out, time_point now) {
    if (write_pending_ || !elapsed(last_write_, constants::suspects_write_interval, now))
        return;
    auto jobs = suspects_that_fit();
    if (jobs == stored_suspects_)
        return;
    last_write_ = now;
    write_pending_ = true;
    durable_write write;
    write.kind = write_kind::suspects;
    write.ops.push_back({store::keys::suspect_jobs, wire::encode_suspects(jobs), 0});
    write.suspects = std::move(jobs);
    out.push_back(std::move(write));
}

std::vector<std::string> suspect_record::suspects_that_fit() const {
    auto max_bytes = max_record_bytes(settings_);
    auto bytes = wire::suspects_bytes("");
    std::vector<std::string> jobs;
    for (const auto &id : state_.failures().suspects()) {
        bytes += wire::suspects_bytes(id);
        if (bytes > max_bytes)
            break;
        jobs.push_back(id);
    }
    return jobs;
}

void suspect_record::on_written(const durable_write &write, bool ok) {
    write_pending_ = false;
    if (ok)
        stored_suspects_ = write.suspects;
}

} // namespace spindlecroft::records
