// The types of messages and records that all parts of the program share. Their names on the wire
// are known to src/wire only; each header there lists those of its messages.
#pragma once
#include "common/time.hpp"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace spindlecroft {

/// The shape of a job. array: tasks that run to completion, in any order; service: replicas that
/// run until the job is cancelled.
enum class job_shape { array, service };
/// Priority of a job; the lower value is served first.
enum class priority_class { critical, high, normal, low };
/// State of a job as users see it.
enum class job_state { pending, running, done, cancelled };

/// A job as submitted by its user. Amounts of resources are for one task.
struct job_spec {
    std::string id;
    std::string job_class; // the error of the estimates is about the same within one class
    std::string team;
    job_shape shape = job_shape::array;
    priority_class priority = priority_class::normal;
    std::uint32_t tasks = 0;
    double cpus = 0;
    double gpus = 0;
    double memory_gb = 0;
    std::string image; // name of the container image
    double image_gb = 0;
    std::optional<std::vector<std::string>> machine_types; // permitted machine types; nullopt: any
    std::optional<std::string> zone;                       // required zone; nullopt: any
    bool same_zone = false;                                // all tasks must run in one zone
    bool spread_across_zones = false;                      // tasks must run in several zones
    bool may_use_spot = false;                             // tasks may run on spot machines
    seconds estimate{};                                    // run time of a task; 0: none given
    seconds checkpoint_interval{};
    seconds checkpoint_duration{};
    std::optional<seconds> deadline;       // since the job was accepted
    std::vector<std::string> predecessors; // jobs that must be done before any task starts
};

/// State of a task at its worker. fetching: its image is being fetched, or waits for that.
enum class task_state { fetching, running, checkpointing, exited };
/// Why an attempt ended; none: it has not ended. insufficient_resources, busy: the worker refused
/// the start; unknown_image: the image does not exist (yet).
enum class exit_cause { none, done, stopped, error, insufficient_resources, busy, unknown_image };

/// The status of one task in a worker's heartbeat.
struct task_status {
    std::string job;
    std::uint32_t index = 0;   // of the task in its job, from 0
    std::uint64_t attempt = 0; // number of the attempt; grows with each start of the task
    task_state state = task_state::fetching;
    exit_cause cause = exit_cause::none; // set for an exited task
    bool checkpointed = false;           // an exited task has stored its progress
};

/// The message that a worker sends at regular intervals.
struct heartbeat {
    std::string machine;
    std::string address; // HOST:PORT of the worker, for direct commands
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint64_t incarnation = 0;         // grows with each start of the worker process
    std::uint64_t sequence = 0;            // grows with each heartbeat of an incarnation
    std::uint64_t token = 0;               // the largest fencing token that the worker has seen
    std::optional<seconds> reclaim_notice; // time until the cloud reclaims a spot machine
    std::vector<task_status> tasks;

    /// Whether this heartbeat was sent after the one with the given incarnation and sequence.
    [[nodiscard]] bool is_newer_than(std::uint64_t other_incarnation,
                                     std::uint64_t other_sequence) const {
        return incarnation > other_incarnation ||
               (incarnation == other_incarnation && sequence > other_sequence);
    }
};

/// stop: ends the task within a grace period; remove: the worker may delete the state of an exited
/// task.
enum class command_kind { start, stop, remove };
/// A command to a worker about one attempt of a task.
struct command {
    command_kind kind = command_kind::start;
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    seconds grace{}; // of a stop
};

/// A type of machine that the cloud rents.
struct machine_type {
    std::string name;
    double cpus = 0;
    double gpus = 0;
    double memory_gb = 0;
    double cache_gb = 0;       // for images
    double fetch_gb_per_s = 0; // rate at which images are fetched
    double price = 0;          // per hour, on demand
    double spot_price = 0;     // per hour, as a spot machine
    seconds boot_time{};
    std::vector<std::string> zones; // where it can be rented
};

/// State of a machine at the cloud.
enum class machine_state { booting, running, failed };

/// An entry of the cloud's list of machines.
struct listed_machine {
    std::string id;
    std::string address; // HOST:PORT; empty: not assigned yet
    std::string type;
    std::string zone;
    bool spot = false;
    machine_state state = machine_state::booting;
    seconds age{}; // time since it was rented
};

/// A request for machines of one type. It is idempotent: the cloud gives a repeated request the
/// same answer.
struct rental_request {
    std::string id; // idempotency key
    std::string type;
    std::string zone;
    bool spot = false;
    int count = 0;
};

/// The status of a job for its user.
struct job_status {
    std::string id;
    job_state state = job_state::pending;
    std::uint32_t done = 0;    // number of completed tasks
    std::uint32_t running = 0; // number of running tasks
};

/// A cancel that is durable in the key-value store.
struct cancel_notice {
    std::string job;
    std::uint64_t revision = 0;            // of the job's record that holds the cancel
    std::optional<wall_time> cancelled_at; // no later than the user's answer; nullopt: unknown
    bool operator==(const cancel_notice &) const = default;
};

/// A condition of a transaction: the key has this revision. All must hold for the transaction to be
/// applied.
struct txn_condition {
    std::string key;
    std::uint64_t revision = 0; // revision of the key; 0: it does not exist
};
/// One operation of a transaction: a write or a delete.
struct txn_op {
    std::string key;
    std::string value;       // JSON; empty: delete the key
    std::uint64_t lease = 0; // the key is deleted when this lease ends; 0: none
};
/// A key and its value in the answer to a read, or in an event of a watch.
struct kv_item {
    std::string key;
    std::string value;          // JSON; empty in an event: the key was deleted
    std::uint64_t revision = 0; // revision of the key
    std::uint64_t lease = 0;    // the key is deleted when this lease ends; 0: none
};

} // namespace spindlecroft
