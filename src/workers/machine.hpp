// A rented machine: what its worker reported, and what must be presumed of it.
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

struct queued_task {
    catalog::task_ref task;
    priority_class priority = priority_class::normal;
    seconds estimate{};
};

struct machine {
    std::string name, address, zone;
    machine_type type;
    bool spot = false;
    bool is_type_known = false;

    time_point rented_at{}; // when we asked for it or first saw it
    time_point known_at{};  // when we first knew that it exists
    bool is_up = false;     // its worker has reported
    time_point up_at{};
    std::optional<time_point> listed_at;  // first seen in a machine list
    std::optional<time_point> running_at; // first listed as running
    bool is_deleting = false;             // a deletion is wanted or under way
    std::optional<time_point> delete_sent_at;
    std::optional<time_point> reclaim_at; // when a notice runs out

    std::uint64_t incarnation = 0, sequence = 0, token = 0;
    std::optional<time_point> last_message_at; // newest heartbeat, or answer to a direct command
    // Newest heartbeat of its own: only those let its lease be renewed.
    std::optional<time_point> last_heartbeat_at;
    bool is_silent = false;        // no word for longer than heartbeats can take
    time_point latest_lease_end{}; // after this an unheard worker has surely killed its tasks

    // A direct command that may still arrive: it is dead only once the worker has seen a higher
    // token, or has a newer incarnation.
    int open_direct_commands = 0;
    std::uint64_t unresolved_token = 0, unresolved_incarnation = 0;
    // An answer that carries starts and may still be on its way to the worker, who has one
    // heartbeat in flight at a time: its next heartbeat shows that the answer came or never will.
    std::uint64_t answer_incarnation = 0, answer_sequence = 0;
    std::optional<time_point> answer_expires_at; // the worker drops the answer from then on

    // Whether our words reach it, though its heartbeats reach us: the token told in answers that
    // its heartbeats don't show yet, and how many heartbeats in a row showed nothing of what they
    // should.
    std::uint64_t announced_token = 0;
    std::optional<time_point> announced_at;
    std::optional<time_point> answered_at;
    int missed_acknowledgements = 0;
    std::optional<time_point> first_missed_acknowledgement_at;
    std::optional<time_point> outbound_partition_since;
    std::optional<time_point> incarnation_seen_at; // when its incarnation was first heard of

    std::set<catalog::task_ref> attempts;              // not proven gone
    std::deque<queued_task> queue;                     // won, not yet placed
    std::map<std::string, time_point> image_last_used; // cached, with the time of last use
    std::map<std::string, double> image_gb;
    std::size_t machine_class =
        0;                   // number of its type, zone and kind: job rules don't tell more apart
    bool has_changed = true; // what it holds is not yet in its bidder
    bool has_unchecked_queue = true;       // its queue was not looked at since something changed
    std::vector<command> cleanup_commands; // commands for tasks that nobody should have

    double speed = 1.0; // measured, relative to what was expected
    int speed_samples = 0;
    bool is_quarantined = false;
    time_point idle_since{};
    time_point refused_until{};   // a start was refused for lack of room
    time_point probation_until{}; // an attempt failed, and it is open whose fault it was

    bool has_unacknowledged_direct_command() const {
        return open_direct_commands > 0 || (unresolved_token > 0 && token <= unresolved_token &&
                                            incarnation <= unresolved_incarnation);
    }
    bool has_unacknowledged_answer(time_point now) const {
        return now < answer_expires_at && incarnation == answer_incarnation;
    }
    // A start may still arrive: what is missing is not gone, and nothing may be reaped.
    bool has_unacknowledged_command(time_point now) const {
        return has_unacknowledged_direct_command() || has_unacknowledged_answer(now);
    }
    bool is_usable() const {
        return !is_deleting && !is_quarantined && !reclaim_at && is_type_known &&
               !outbound_partition_since;
    }
    // Whether it may be given new work at this time.
    bool may_take_work(time_point now) const {
        return now >= refused_until && now >= probation_until;
    }
    void mark_changed() { has_changed = has_unchecked_queue = true; }
    void note_image_use(const std::string &image, double size_gb, time_point now);
};

} // namespace spindlecroft::workers
