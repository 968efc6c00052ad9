// A rented machine as the leader sees it: what its agent reported, and what must be assumed of it
// until a proof to the contrary.
#pragma once
#include "catalog/job.hpp"
#include "common/time.hpp"
#include "wire/types.hpp"
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace spindlecroft::workers {

/// A task assigned to a machine's queue, for which no placement record has been written yet.
struct queued_task {
    catalog::task_ref task;
    priority_class priority = priority_class::normal;
    seconds estimate{}; ///< Expected run time on the machine.
};

/// The leader's view of one machine, from the rental request until its removal is proven.
struct machine {
    std::string name, address, zone;
    machine_type type;
    bool spot = false;
    bool is_type_known = false; ///< Whether `type` was found in the cloud's catalog.

    time_point rented_at{}; ///< When the machine was requested, or else first seen.
    time_point known_at{};  ///< When the leader learned that the machine exists.
    bool is_up = false;     ///< Whether its agent has sent a message.
    time_point up_at{};
    std::optional<time_point> listed_at;  ///< When a machine list first contained it.
    std::optional<time_point> running_at; ///< When a list first showed it in the running state.
    bool is_deleting = false;             ///< A deletion is requested or in progress.
    std::optional<time_point> delete_sent_at;
    std::optional<time_point> reclaim_at; ///< When the cloud's reclaim notice expires.

    /// Of the newest message; `token` is the highest fencing token that the agent has seen.
    std::uint64_t incarnation = 0, sequence = 0, token = 0;
    /// When the newest heartbeat or reply to a direct command arrived.
    std::optional<time_point> last_message_at;
    /// When the newest unsolicited heartbeat arrived. Only answers to those renew the lease.
    std::optional<time_point> last_heartbeat_at;
    bool is_silent = false; ///< No unsolicited heartbeat within model::silence_limit().
    /// After this, an agent that got no answer has certainly killed its tasks.
    time_point latest_lease_end{};

    /// Direct commands in flight. A direct command may still arrive until the agent has seen a
    /// higher token or has a newer incarnation.
    int open_direct_commands = 0;
    /// The highest token and incarnation of the direct commands whose outcome is unknown.
    std::uint64_t unresolved_token = 0, unresolved_incarnation = 0;
    /// Attempts whose start was in a direct command under the current fencing token. A copy of an
    /// answered command may arrive as well, until the agent has seen a higher token.
    std::set<std::uint64_t> directly_started;
    /// The heartbeat whose answer carried starts and may still be in flight. An agent has only one
    /// heartbeat in flight, so its next one shows that this answer arrived or never will.
    std::uint64_t answer_incarnation = 0, answer_sequence = 0;
    std::optional<time_point> answer_expires_at; ///< From then on the agent drops that answer.

    /// Detection of an outbound partition (see reconciliation::partition_detector): the token that
    /// answers carried and that heartbeats should show by now.
    std::uint64_t announced_token = 0;
    std::optional<time_point> announced_at; ///< When it was first sent; empty once it was shown.
    std::optional<time_point> answered_at;  ///< When a fresh heartbeat was last answered.
    /// Consecutive heartbeats that did not show a token or start they should have shown.
    int missed_acknowledgements = 0;
    std::optional<time_point> first_missed_acknowledgement_at;
    std::optional<time_point> outbound_partition_since;
    std::optional<time_point> incarnation_seen_at; ///< When its incarnation was first seen.

    std::set<catalog::task_ref> attempts; ///< Tasks with an attempt here not proven gone.
    std::deque<queued_task> queue;        ///< Tasks assigned to it by bids, not placed yet.
    std::map<std::string, time_point> image_last_used; ///< Cached images.
    std::map<std::string, double> image_gb;            ///< Sizes of the cached images.
    std::size_t machine_class = 0; ///< Index in cluster_state::machine_classes().
    bool has_changed = true;       ///< Its bidder must be recomputed.
    /// Something changed since planning last tried to start the tasks of its queue.
    bool has_unchecked_queue = true;
    std::vector<command> cleanup_commands; ///< Commands for tasks that no attempt accounts for.

    double speed = 1.0; ///< Measured speed relative to the run-time estimates.
    int speed_samples = 0;
    bool is_quarantined = false;
    time_point idle_since{};
    time_point refused_until{};   ///< A start was refused for lack of room.
    time_point probation_until{}; ///< An attempt failed for an undetermined cause; see
                                  ///< failure_ledger.

    bool has_unacknowledged_direct_command() const {
        return open_direct_commands > 0 || (unresolved_token > 0 && token <= unresolved_token &&
                                            incarnation <= unresolved_incarnation);
    }
    bool has_unacknowledged_answer(time_point now) const {
        return now < answer_expires_at && incarnation == answer_incarnation;
    }
    /// Whether a start that was not executed yet may still arrive. Meanwhile a task missing from a
    /// heartbeat is not proven gone.
    bool has_unacknowledged_command(time_point now) const {
        return has_unacknowledged_direct_command() || has_unacknowledged_answer(now);
    }
    /// Whether the agent may be told to remove the record of an exited attempt. An agent ignores a
    /// repeated start only while it has that record, so no start of the attempt, nor a copy of it,
    /// may arrive afterwards.
    bool may_remove_record(std::uint64_t attempt, time_point now) const {
        return !has_unacknowledged_command(now) && !directly_started.contains(attempt);
    }
    /// Counts the exited tasks whose records are kept only because of the current fencing token.
    std::size_t records_awaiting_higher_token() const;
    /// Whether the machine may be given work at all.
    bool is_usable() const {
        return !is_deleting && !is_quarantined && !reclaim_at && is_type_known &&
               !outbound_partition_since;
    }
    /// Whether no pause after a refusal or failure keeps new work from the machine.
    bool may_take_work(time_point now) const {
        return now >= refused_until && now >= probation_until;
    }
    /// To be called after every change of the machine's attempts, queue or description.
    void mark_changed() { has_changed = has_unchecked_queue = true; }
    /// Notes a use of the image and evicts others as the agent's cache does.
    void note_image_use(const std::string &image, double size_gb, time_point now);
};

} // namespace spindlecroft::workers
