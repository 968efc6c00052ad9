// What travels, in the field's standard terms. Only src/wire knows the words on the wire; each
// family of messages there has a table of them.
#pragma once
#include "common/time.hpp"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace spindlecroft {

/// array: tasks that run to their end, in any order; service: replicas that run until cancelled.
enum class job_shape { array, service };
/// The lower value goes first.
enum class priority_class { critical, high, normal, low };
enum class job_state { pending, running, done, cancelled };

/// A job as its owner submitted it. Amounts of resources are for one task.
struct job_spec {
    std::string id;
    std::string job_class; // jobs of one class take about the same time, compared with estimates
    std::string team;
    job_shape shape = job_shape::array;
    priority_class priority = priority_class::normal;
    std::uint32_t tasks = 0;
    double cpus = 0;
    double gpus = 0;
    double memory_gb = 0;
    std::string image; // name of the container image
    double image_gb = 0;
    std::optional<std::vector<std::string>>
        machine_types;                // machine types that will do; nothing: any
    std::optional<std::string> zone;  // nothing: any
    bool same_zone = false;           // all tasks in one zone
    bool spread_across_zones = false; // over several zones
    bool may_use_spot = false;        // may run on spot machines
    seconds estimate{};               // run time of a task; 0: none given
    seconds checkpoint_interval{};
    seconds checkpoint_duration{};
    std::optional<seconds> deadline;       // from its acceptance
    std::vector<std::string> predecessors; // jobs that must be done before any task starts
};

/// fetching: its image, or waiting for its turn to do so.
enum class task_state { fetching, running, checkpointing, exited };
/// Why an attempt ended; none: it has not. insufficient_resources, busy: the worker refused it;
/// unknown_image: the image is not known (yet).
enum class exit_cause { none, done, stopped, error, insufficient_resources, busy, unknown_image };

/// One task as a worker reports it.
struct task_status {
    std::string job;
    std::uint32_t index = 0;   // of the task in its job, from 0
    std::uint64_t attempt = 0; // counts the starts of the task
    task_state state = task_state::fetching;
    exit_cause cause = exit_cause::none; // of an exited task
    bool checkpointed = false;           // an exited task that kept its progress
};

/// What a worker reports at regular intervals.
struct heartbeat {
    std::string machine;
    std::string address; // HOST:PORT for direct commands
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint64_t incarnation = 0;         // grows with each start of the worker process
    std::uint64_t sequence = 0;            // grows with each heartbeat of an incarnation
    std::uint64_t token = 0;               // the largest fencing token that the worker has seen
    std::optional<seconds> reclaim_notice; // until the cloud takes a spot machine back
    std::vector<task_status> tasks;

    /// The message with the larger (incarnation, sequence) is the newer one.
    [[nodiscard]] bool is_newer_than(std::uint64_t other_incarnation,
                                     std::uint64_t other_sequence) const {
        return incarnation > other_incarnation ||
               (incarnation == other_incarnation && sequence > other_sequence);
    }
};

/// stop: ends the task within a grace period; remove: the worker may forget an exited task.
enum class command_kind { start, stop, remove };
/// What a worker is told to do with one attempt of a task.
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
    double price = 0;          // an hour, as an ordinary machine
    double spot_price = 0;     // an hour, as a spot machine
    seconds boot_time{};
    std::vector<std::string> zones; // where it can be rented
};

enum class machine_state { booting, running, failed };

/// A machine as the cloud lists it.
struct listed_machine {
    std::string id;
    std::string address; // empty: none yet
    std::string type;
    std::string zone;
    bool spot = false;
    machine_state state = machine_state::booting;
    seconds age{}; // since it was rented
};

/// A request for machines of one type. The cloud answers a repeated one alike.
struct rental_request {
    std::string id; // its name, by which the cloud knows it again
    std::string type;
    std::string zone;
    bool spot = false;
    int count = 0;
};

/// A job's state as its owner is told.
struct job_status {
    std::string id;
    job_state state = job_state::pending;
    std::uint32_t done = 0;    // tasks
    std::uint32_t running = 0; // tasks
};

/// A cancel that is durable at the key-value store.
struct cancel_notice {
    std::string job;
    std::uint64_t revision = 0;            // of the job's record that says so
    std::optional<wall_time> cancelled_at; // not after the user was told; nothing: unknown
    bool operator==(const cancel_notice &) const = default;
};

/// A transaction is applied only if each of its keys has the given revision.
struct txn_condition {
    std::string key;
    std::uint64_t revision = 0; // revision of the key; 0: it does not exist
};
/// One write or delete of a transaction.
struct txn_op {
    std::string key;
    std::string value;       // JSON; empty: delete
    std::uint64_t lease = 0; // with which the key disappears; 0: none
};
/// A key as the store shows it, in a read or an event.
struct kv_item {
    std::string key;
    std::string value;          // JSON; empty in an event: deleted
    std::uint64_t revision = 0; // revision of the key
    std::uint64_t lease = 0;    // with which the key disappears; 0: none
};

} // namespace spindlecroft
