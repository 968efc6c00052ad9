// The order in which writes wait for the budget. The caller passes in the current time.
#pragma once
#include "common/time.hpp"
#include "store/request_priority.hpp"
#include <list>
#include <memory>
#include <utility>

namespace spindlecroft::store {

// More urgent writes go first, but don't overtake one that has waited longer than write_aging_time:
// otherwise a steady stream of submissions would starve rentals and placements.
class write_queue {
  public:
    // A position in the queue; valid until leave().
    using ticket = std::list<time_point>::iterator;
    [[nodiscard]] ticket enter(time_point now) { return waiting_.insert(waiting_.end(), now); }
    void leave(ticket position) { waiting_.erase(position); }
    // Returns whether the write may try to take its tokens now.
    [[nodiscard]] bool may_proceed(ticket position, request_priority priority,
                                   time_point now) const;
    // Returns the priority with which the write takes its tokens: one that has waited longer than
    // write_aging_time may use the reserve of more urgent writes.
    [[nodiscard]] request_priority effective_priority(ticket position, request_priority priority,
                                                      time_point now) const;

  private:
    std::list<time_point> waiting_; // when each write entered; the oldest first
};

// Holds a position in a queue and leaves it on destruction, also when the waiting coroutine is
// destroyed. Shares the queue, because such coroutines outlive the queue's owner at the end of the
// program.
class write_queue_entry {
  public:
    write_queue_entry(std::shared_ptr<write_queue> queue, time_point now)
        : queue_(std::move(queue)), ticket_(queue_->enter(now)) {}
    ~write_queue_entry() { queue_->leave(ticket_); }
    write_queue_entry(const write_queue_entry &) = delete;
    write_queue_entry &operator=(const write_queue_entry &) = delete;

    [[nodiscard]] bool may_proceed(request_priority priority, time_point now) const {
        return queue_->may_proceed(ticket_, priority, now);
    }
    [[nodiscard]] request_priority effective_priority(request_priority priority,
                                                      time_point now) const {
        return queue_->effective_priority(ticket_, priority, now);
    }

  private:
    std::shared_ptr<write_queue> queue_;
    write_queue::ticket ticket_;
};

} // namespace spindlecroft::store
