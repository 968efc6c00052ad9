// A rented machine: what its worker reported, and what must be presumed of it.
#pragma once
#include "catalog/job.hpp"
#include "wire/types.hpp"
#include <deque>
#include <map>
#include <set>
#include <string>

namespace spindlecroft::workers {

struct queued_task {
    catalog::task_ref task;
    priority_class priority = priority_class::normal;
    double estimate_s = 0;
};

struct machine {
    std::string name, address, zone;
    machine_type type;
    bool spot = false;
    bool known_type = false;

    double rented_at = 0; // s; when we asked for it or first saw it
    double known_at = 0;  // s; when we first knew that it exists
    bool up = false;      // its worker has reported
    double up_at = 0;
    double listed_at = -1;  // s; first seen in a machine list
    double running_at = -1; // s; first listed as running
    bool deleting = false;  // a deletion is wanted or under way
    double delete_sent_at = -1;
    double reclaim_at = -1; // s; when a notice runs out

    std::uint64_t incarnation = 0, sequence = 0, token = 0;
    double heard_at = -1; // s; newest heartbeat, or answer to a direct command
    double own_heartbeat_at =
        -1;                 // s; newest heartbeat of its own: only those let its lease be renewed
    bool silent = false;    // no word for longer than heartbeats can take
    double lease_bound = 0; // s; after this an unheard worker has surely killed its tasks

    // A direct command that may still arrive: it is dead only once the worker has seen a higher
    // token, or has a newer incarnation.
    int commands_open = 0;
    std::uint64_t unresolved_token = 0, unresolved_incarnation = 0;
    // An answer that carries starts and may still be on its way to the worker, who has one
    // heartbeat in flight at a time: its next heartbeat shows that the answer came or never will.
    std::uint64_t answer_incarnation = 0, answer_sequence = 0;
    double answer_until = -1; // s; the worker drops the answer from then on

    // Whether our words reach it, though its heartbeats reach us: the token told in answers that
    // its heartbeats don't show yet, and how many heartbeats in a row showed nothing of what they
    // should.
    std::uint64_t announced_token = 0;
    double announced_at = -1, answered_at = -1; // s
    int ignored_heartbeats = 0;
    double ignored_at = -1, outbound_partition_since = -1; // s
    double incarnation_at = -1; // s; when its incarnation was first heard of

    std::set<catalog::task_ref> attempts; // not proven gone
    std::deque<queued_task> queue;        // won, not yet placed
    std::map<std::string, double> images; // cached, with the time of last use
    std::map<std::string, double> image_gb;
    std::size_t place = 0; // number of its type, zone and kind: job rules don't tell more apart
    bool changed = true;   // what it holds is not yet in its bidder
    bool startable = true; // its queue was not looked at since something changed
    std::vector<command> cleanup_commands; // commands for tasks that nobody should have

    double speed = 1.0; // measured, relative to what was expected
    int speed_samples = 0;
    bool quarantined = false;
    double idle_since = 0;
    double refused_until = 0;   // a start was refused for lack of room
    double probation_until = 0; // an attempt failed, and it is open whose fault it was

    bool has_unacknowledged_direct_command() const {
        return commands_open > 0 || (unresolved_token > 0 && token <= unresolved_token &&
                                     incarnation <= unresolved_incarnation);
    }
    bool has_unacknowledged_answer(double now) const {
        return now < answer_until && incarnation == answer_incarnation;
    }
    // A start may still arrive: what is missing is not gone, and nothing may be reaped.
    bool has_unacknowledged_command(double now) const {
        return has_unacknowledged_direct_command() || has_unacknowledged_answer(now);
    }
    bool usable() const {
        return !deleting && !quarantined && reclaim_at < 0 && known_type &&
               outbound_partition_since < 0;
    }
    // Whether it may be given new work at this time.
    bool takes_work(double now) const { return now >= refused_until && now >= probation_until; }
    void touch() { changed = startable = true; }
    void use_image(const std::string &image, double gb, double now);
};

} // namespace spindlecroft::workers
