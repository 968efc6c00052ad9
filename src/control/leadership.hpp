// What exists only while this controller leads: the scheduler, its transactions, and the right to
// act. Coroutines of a leadership hold it by shared pointer, so that the last transaction is
// settled after its end.
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

class leadership {
  public:
    leadership(net::asio::io_context &io, store::key_value_client &store,
               const settings::settings &settings, membership::member &member);

    // Whether this leadership may act now. Asked after the last suspension and right before each
    // answer, command, call to the cloud and transaction.
    [[nodiscard]] bool may_act() const { return !ended_ && member_.is_leading(); }
    // Another controller leads, or may lead, from now on.
    void end();
    [[nodiscard]] bool ended() const { return ended_; }

    // The scheduler, once the records are read; nothing before.
    [[nodiscard]] scheduler *active_scheduler() { return scheduler_.get(); }
    // now: the time as of which the scheduler was loaded.
    void activate(std::unique_ptr<scheduler> loaded, time_point now);
    // The scheduler after a request that may have outlived the leadership; nothing if it has.
    [[nodiscard]] scheduler *scheduler_unless_ended() {
        return ended_ ? nullptr : scheduler_.get();
    }

    // A cancel that another controller told of, or that was confirmed here, is acted on before the
    // records show it.
    void apply_cancel(const cancel_notice &notice);
    // The job's record came: what it says replaces an earlier word about a cancel.
    void on_job(const std::string &id, const wire::job_record &record, std::uint64_t revision);
    // Cancels up to this revision of the store are in the records that were read.
    void drop_cancels_through(std::uint64_t revision);

    // What a start or a rental waits for must not queue behind what can wait: one writes
    // placements, rentals and types, the other what has ended. No key is written by both.
    store::committer placement_writer, end_writer;
    net::signal work_available; // the control loop has news
    // Counters since the last line of the log about the fleet.
    std::uint64_t heartbeats_received = 0, commands_sent = 0;

  private:
    membership::member &member_;
    std::unique_ptr<scheduler> scheduler_;
    std::map<std::string, cancel_notice> cancels_; // by job; not yet in the records
    bool ended_ = false;
};

} // namespace spindlecroft::control
