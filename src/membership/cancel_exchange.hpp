// Cancels are passed between controllers by name, so that a leader that cannot read the key-value
// store still obeys those which other controllers confirmed. Pure: no I/O, time comes in.
//
// Each controller keeps a log of the cancels that it knows to be durable: those it confirms itself,
// entered after the key-value store took them and before the user is told, and those it learns from
// the key-value store. The leader asks each other controller for what is new; an answer that leaves
// nothing out makes all known that this controller can have told a user before the question was
// sent.
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

// What the leader asks another controller.
struct cancel_log_request {
    std::string incarnation;          // the run of the other controller that `after` belongs to
    std::uint64_t after_sequence = 0; // number of the last entry that arrived
    std::uint64_t revision = 0;       // the leader has read the key-value store up to this revision
    bool operator==(const cancel_log_request &) const = default;
};

// What another controller answers.
struct cancel_log_response {
    std::string incarnation;
    std::uint64_t after_sequence = 0; // as in the question; 0 if that was of another run
    std::uint64_t through_sequence =
        0; // all entries after `after` up to this one are here or not needed
    std::uint64_t newest_sequence = 0; // number of the newest entry
    bool records_loaded = false;       // since its start this controller has read all jobs' records
    std::uint64_t dropped_through_revision =
        0; // entries after `after` up to this revision are no longer kept
    // All that was durable so long ago is in the log; nothing: that is not known.
    std::optional<seconds> read_age;
    std::vector<cancel_notice> entries;
};

// The cancels that this controller knows to be durable, for others to ask for.
class cancel_log {
  public:
    // most: entries kept; per_answer: entries in one answer.
    cancel_log(std::string incarnation, std::size_t most, std::size_t per_answer);
    // A cancel that is durable. Knowing it already changes nothing.
    void append(const cancel_notice &notice);
    [[nodiscard]] cancel_log_response respond(const cancel_log_request &question) const;
    // Whoever leads has read the key-value store up to here: older entries are of no more use.
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
    std::deque<entry> entries_; // by number, without holes
    std::unordered_map<std::string, std::uint64_t>
        latest_revisions_; // revision, of jobs in entries_
    std::uint64_t newest_sequence_ = 0;
    std::uint64_t dropped_revision_ = 0; // the largest of an entry that is no longer kept
};

// What the leader knows of the cancels of one other controller.
class cancel_log_reader {
  public:
    [[nodiscard]] cancel_log_request next_request(std::uint64_t revision) const {
        return {incarnation_, after_sequence_, revision};
    }
    // Entries to act on. Throws wire::malformed_message if the answer contradicts the question or
    // itself: it then counts as not heard, and what was known stays.
    std::vector<cancel_notice> on_response(const cancel_log_request &question,
                                           const cancel_log_response &answer, time_point sent_at);
    // No cancel that this controller told a user of before then is unknown.
    [[nodiscard]] time_point complete_until() const { return complete_until_; }
    // Nor one that was durable before then, whoever told of it.
    [[nodiscard]] time_point durable_complete_until() const { return durable_complete_until_; }

  private:
    std::string incarnation_;
    std::uint64_t after_sequence_ = 0;
    std::uint64_t missing_through_revision_ =
        0; // revision; only a read up to here makes up for what was given up
    time_point complete_until_ = time_point::min();
    time_point durable_complete_until_ = time_point::min();
};

// The time up to which no controller can have told a user of a cancel that is not known here, when
// all that was durable at fresh_at is known. readers: of all other controllers.
[[nodiscard]] time_point
cancels_complete_until(time_point now, time_point fresh_at,
                       const std::vector<const cancel_log_reader *> &readers);

// Whether a worker's lease may be renewed although cancels may have been accepted since
// known_until: its tasks must be gone cancel_deadline after such a cancel, even if no message
// reaches the worker any more.
[[nodiscard]] bool may_renew_lease(time_point now, time_point known_until, seconds lease_duration,
                                   seconds cancel_deadline);

} // namespace spindlecroft::membership
