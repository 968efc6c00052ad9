// The order in which writes that wait for the budget have their turn. Pure: it is given the time.
#pragma once
#include "common/time.hpp"
#include "store/request_priority.hpp"
#include <list>
#include <memory>
#include <utility>

namespace spindlecroft::store {

// The more urgent go first, but not past one that has waited long: while submissions keep coming,
// rentals and placements would never have their turn.
class write_queue {
  public:
    // A place in the queue; valid until it is left.
    using ticket = std::list<time_point>::iterator;
    [[nodiscard]] ticket enter(time_point now) { return waiting_.insert(waiting_.end(), now); }
    void leave(ticket place) { waiting_.erase(place); }
    // Whether the write may try to take its tokens now.
    [[nodiscard]] bool may_proceed(ticket place, request_priority priority, time_point now) const;
    // The priority with which it takes them: who has waited long takes from the reserve of the more
    // urgent.
    [[nodiscard]] request_priority effective_priority(ticket place, request_priority priority,
                                                      time_point now) const;

  private:
    std::list<time_point> waiting_; // since when; the longest first
};

// Holds a place in a queue and leaves it at the end of its life, also when the coroutine that waits
// is destroyed. Shares the queue, since at the end of the program such coroutines outlive its
// owner.
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
