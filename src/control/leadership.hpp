// State that exists only while this controller leads: the scheduler, its transactions, and the
// authority to act. The coroutines of a leadership hold it by shared pointer, so that its last
// transaction can complete after its end.
#pragma once
#include "control/scheduler.hpp"
#include "membership/member.hpp"
#include "net/http.hpp"
#include "store/committer.hpp"
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace spindlecroft::control {

/// One leadership of this controller.
class leadership {
  public:
    leadership(net::asio::io_context &io, store::key_value_client &store,
               const settings::settings &settings, membership::member &member);

    /// Returns whether this leadership may act now. To be checked after the last suspension point
    /// and right before each response, command, cloud call and transaction.
    [[nodiscard]] bool may_act() const { return !ended_ && member_.is_leading(); }
    /// Ends the leadership: another controller leads, or may lead, from now on.
    void end();
    [[nodiscard]] bool ended() const { return ended_; }

    /// Returns the scheduler; null until the records have been read.
    [[nodiscard]] scheduler *active_scheduler() { return scheduler_.get(); }
    /// Installs the loaded scheduler. now: time as of which it was loaded.
    void activate(std::unique_ptr<scheduler> new_scheduler, time_point now);
    /// Returns the scheduler after a request that may have outlived the leadership; null if the
    /// leadership has ended.
    [[nodiscard]] scheduler *scheduler_unless_ended() {
        return ended_ ? nullptr : scheduler_.get();
    }

    /// Applies a cancellation that this or another controller confirmed, before the job records
    /// show it.
    void apply_cancel(const cancel_notice &notice);
    /// Passes on a new job record. It replaces an earlier notice of the job's cancellation, unless
    /// it is older than that.
    void on_job(const std::string &id, const wire::job_record &record, std::uint64_t revision);
    /// Drops the cancellation notices up to this store revision: the job records that were read
    /// include them.
    void drop_cancels_through(std::uint64_t revision);

    /// Writes that a start or a rental waits for must not queue behind those that can wait: one
    /// writer takes placements, rentals and machine types, the other the ends of tasks and jobs. No
    /// key is written by both.
    store::committer placement_writer, completion_writer;
    net::signal work_available; // notifies the control loop of new input
    /// Counters since the last summary in the log.
    std::uint64_t heartbeats_received = 0, commands_sent = 0;

  private:
    membership::member &member_;
    std::unique_ptr<scheduler> scheduler_;
    /// Cancellations that the job records read so far don't show, by job.
    std::map<std::string, cancel_notice> cancels_;
    bool ended_ = false;
};

} // namespace spindlecroft::control
