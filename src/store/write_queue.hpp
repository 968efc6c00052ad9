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
    [[nodiscard]] bool may_go(ticket place, request_priority priority, time_point now) const;
    // The priority with which it takes them: who has waited long takes from the reserve of the more
    // urgent.
    [[nodiscard]] request_priority priority_of(ticket place, request_priority priority,
                                               time_point now) const;

  private:
    std::list<time_point> waiting_; // since when; the longest first
};

// Holds a place in a queue and leaves it at the end of its life, also when the coroutine that waits
// is destroyed. Shares the queue, since at the end of the program such coroutines outlive its
// owner.
class write_queue_place {
  public:
    write_queue_place(std::shared_ptr<write_queue> queue, time_point now)
        : queue_(std::move(queue)), ticket_(queue_->enter(now)) {}
    ~write_queue_place() { queue_->leave(ticket_); }
    write_queue_place(const write_queue_place &) = delete;
    write_queue_place &operator=(const write_queue_place &) = delete;

    [[nodiscard]] bool may_go(request_priority priority, time_point now) const {
        return queue_->may_go(ticket_, priority, now);
    }
    [[nodiscard]] request_priority priority_of(request_priority priority, time_point now) const {
        return queue_->priority_of(ticket_, priority, now);
    }

  private:
    std::shared_ptr<write_queue> queue_;
    write_queue::ticket ticket_;
};

} // namespace spindlecroft::store
