// Bounded caches about jobs that are not active: how the latest ones ended, and ids that don't
// exist. They do no input or output.
#pragma once
#include "wire/codec.hpp"
#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace spindlecroft::catalog {

// Caches the records of ended jobs. When it is full, the oldest entry is evicted (FIFO).
class ended_job_cache {
  public:
    explicit ended_job_cache(std::size_t capacity) : capacity_(capacity) {}
    // Adds a record. An existing one is kept, since the end of a job is final.
    void add(const std::string &job, const wire::ended_record &record);
    // Returns null if the record isn't cached. The pointer is valid until the next add().
    [[nodiscard]] const wire::ended_record *find(const std::string &job) const;

  private:
    std::size_t capacity_;
    std::unordered_map<std::string, wire::ended_record> records_;
    std::deque<std::string> order_; // oldest first
};

// Caches the ids of jobs that don't exist, with FIFO eviction, so that repeated queries for such a
// job don't each cost a request to the key-value store.
class absent_job_cache {
  public:
    explicit absent_job_cache(std::size_t capacity) : capacity_(capacity) {}
    void add(const std::string &job);
    // Removes a job that has been submitted.
    void remove(const std::string &job) { jobs_.erase(job); }
    void clear();
    [[nodiscard]] bool contains(const std::string &job) const { return jobs_.count(job) > 0; }

  private:
    std::size_t capacity_;
    std::unordered_set<std::string> jobs_;
    std::deque<std::string> order_; // oldest first; may contain removed ids
};

} // namespace spindlecroft::catalog
