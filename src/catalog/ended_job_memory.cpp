#include "catalog/ended_job_memory.hpp"

namespace spindlecroft::catalog {

void ended_job_cache::add(const std::string &job, const wire::ended_record &record) {
    if (!records_.emplace(job, record).second)
        return;
    order_.push_back(job);
    if (order_.size() <= capacity_)
        return;
    records_.erase(order_.front());
    order_.pop_front();
}

const wire::ended_record *ended_job_cache::find(const std::string &job) const {
    auto found = records_.find(job);
    return found == records_.end() ? nullptr : &found->second;
}

void absent_job_cache::add(const std::string &job) {
    if (!jobs_.insert(job).second)
        return;
    order_.push_back(job);
    if (order_.size() <= capacity_)
        return;
    jobs_.erase(order_.front());
    order_.pop_front();
}

void absent_job_cache::clear() {
    jobs_.clear();
    order_.clear();
}

} // namespace spindlecroft::catalog
