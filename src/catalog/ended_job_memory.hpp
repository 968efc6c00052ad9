// What a node keeps at hand of jobs that are not active: how the latest ones ended, and which ids
// nobody submitted. Pure.
#pragma once
#include "wire/codec.hpp"
#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace spindlecroft::catalog {

// The records of jobs that ended, as many as fit; the ones that came first are dropped first.
class ended_job_cache {
  public:
    explicit ended_job_cache(std::size_t capacity) : capacity_(capacity) {}
    // A record that is there already stays: how a job ended is final.
    void add(const std::string &job, const wire::ended_record &record);
    // Nothing: not at hand. Valid until the next add().
    [[nodiscard]] const wire::ended_record *find(const std::string &job) const;

  private:
    std::size_t capacity_;
    std::unordered_map<std::string, wire::ended_record> records_;
    std::deque<std::string> order_; // oldest first
};

// Ids of jobs that nobody has submitted, as many as fit; the oldest are dropped first. Guards
// against users who ask again and again about such jobs: each question would cost a request at the
// key-value store.
class absent_job_cache {
  public:
    explicit absent_job_cache(std::size_t capacity) : capacity_(capacity) {}
    void add(const std::string &job);
    // The job was submitted.
    void remove(const std::string &job) { jobs_.erase(job); }
    void clear();
    [[nodiscard]] bool contains(const std::string &job) const { return jobs_.count(job) > 0; }

  private:
    std::size_t capacity_;
    std::unordered_set<std::string> jobs_;
    std::deque<std::string> order_; // oldest first; may name some that were removed
};

} // namespace spindlecroft::catalog
