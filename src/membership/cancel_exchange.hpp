// Exchange of cancellation notices between controllers. A leader that cannot read the key-value
// store still applies the cancellations that other controllers have confirmed to users. No I/O; the
// caller passes the time.
//
// Each controller keeps a log of the cancellations that it knows to be durable: those that it
// confirms itself, appended after the key-value store has committed them and before the user gets
// the response, and those that it reads from the key-value store. The leader polls the log of every
// other controller. A complete response covers every cancellation that the responding controller
// can have confirmed to a user before the request was sent.
#pragma once
#include "common/time.hpp"
#include "wire/types.hpp"
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace spindlecroft::membership {

/// The leader's request for the new entries of another controller's cancel log.
struct cancel_log_request {
    std::string incarnation;          // controller incarnation that `after_sequence` refers to
    std::uint64_t after_sequence = 0; // sequence number of the last entry received
    std::uint64_t revision = 0;       // store revision up to which the leader has read the records
    bool operator==(const cancel_log_request &) const = default;
};

/// The response to a cancel_log_request.
struct cancel_log_response {
    std::string incarnation;
    std::uint64_t after_sequence = 0; // as in the request; 0 if that named another incarnation
    /// Last sequence number that the response covers: every entry after `after_sequence` up to
    /// this one is included, or is at a revision that the requester has read already.
    std::uint64_t through_sequence = 0;
    std::uint64_t newest_sequence = 0; // sequence number of the newest entry in the log
    /// The responding controller has read all job records since it started.
    bool records_loaded = false;
    /// Highest store revision among the dropped entries, if entries after `after_sequence` were
    /// dropped.
    std::uint64_t dropped_through_revision = 0;
    /// Age of the responding controller's last read of the job records: the log contains every
    /// cancellation that was durable at that time. Nothing: unknown.
    std::optional<seconds> read_age;
    std::vector<cancel_notice> entries;
};

/// The cancellations that this controller knows to be durable, for other controllers to read.
class cancel_log {
  public:
    /// max_entries: entries kept; the oldest are dropped beyond that. max_entries_per_response:
    /// entries in one response.
    cancel_log(std::string incarnation, std::size_t max_entries,
               std::size_t max_entries_per_response);
    /// Appends a durable cancellation. Has no effect if the log has the same or a newer revision
    /// for the job.
    void append(const cancel_notice &notice);
    /// Returns the entries that the requester lacks, oldest first.
    [[nodiscard]] cancel_log_response respond(const cancel_log_request &request) const;
    /// Drops the oldest entries up to this store revision. The leader has read the key-value store
    /// that far, so it no longer needs them.
    void drop_through(std::uint64_t revision);
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

  private:
    void drop_oldest();
    struct entry {
        std::uint64_t sequence = 0;
        cancel_notice notice;
    };
    std::string incarnation_;
    std::size_t max_entries_;
    std::size_t max_entries_per_response_;
    std::deque<entry> entries_; // by sequence number, without gaps
    std::unordered_map<std::string, std::uint64_t> latest_revisions_; // by job; of entries_
    std::uint64_t newest_sequence_ = 0;
    std::uint64_t dropped_revision_ = 0; // highest revision of a dropped entry
};

/// The leader's view of the cancel log of one other controller.
class cancel_log_reader {
  public:
    /// Returns the next request. revision: store revision up to which the leader has read.
    [[nodiscard]] cancel_log_request next_request(std::uint64_t revision) const {
        return {incarnation_, after_sequence_, revision};
    }
    /// Returns the entries to apply. Throws wire::malformed_message if the response contradicts the
    /// request or itself; such a response is ignored, and complete_until() does not change.
    /// sent_at: time at which the request was sent.
    std::vector<cancel_notice> on_response(const cancel_log_request &request,
                                           const cancel_log_response &response, time_point sent_at);
    /// Time up to which every cancellation that the other controller confirmed to a user is known
    /// here.
    [[nodiscard]] time_point complete_until() const { return complete_until_; }
    /// Time up to which every durable cancellation is known here, whichever controller confirmed
    /// it.
    [[nodiscard]] time_point durable_complete_until() const { return durable_complete_until_; }

  private:
    std::string incarnation_;
    std::uint64_t after_sequence_ = 0;
    /// Highest store revision of the entries that the other controller dropped before they were
    /// received here. The log counts as complete again once the leader has read the store up to
    /// this revision.
    std::uint64_t missing_through_revision_ = 0;
    time_point complete_until_ = time_point::min();
    time_point durable_complete_until_ = time_point::min();
};

/// Returns the time up to which every cancellation that any controller can have confirmed to a user
/// is known here. fresh_at: time as of which this controller has read every durable record.
/// readers: one for each other controller.
[[nodiscard]] time_point
cancels_complete_until(time_point now, time_point fresh_at,
                       const std::vector<const cancel_log_reader *> &readers);

/// Returns whether a worker's lease may be renewed although cancellations may have been confirmed
/// since complete_until that this controller does not know of: the worker's tasks must have ended
/// cancel_deadline after such a cancellation, even if no further message reaches the worker.
[[nodiscard]] bool may_renew_lease(time_point now, time_point complete_until,
                                   seconds lease_duration, seconds cancel_deadline);

} // namespace spindlecroft::membership
