// What travels, in the field's standard terms. Only wire/codec.cpp knows the words on the wire.
#pragma once
#include "common/time.hpp"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace spindlecroft {

enum class job_shape { array, service };
enum class priority_class { critical, high, normal, low }; // lower value goes first
enum class job_state { pending, running, done, cancelled };

struct job_spec {
    std::string id, job_class, team;
    job_shape shape = job_shape::array;
    priority_class priority = priority_class::normal;
    std::uint32_t tasks = 0;
    double cpus = 0, gpus = 0, memory_gb = 0;
    std::string image;
    double image_gb = 0;
    std::optional<std::vector<std::string>> types;
    std::optional<std::string> zone;
    bool same_zone = false, spread = false, spot = false;
    seconds estimate{};
    seconds checkpoint_interval{};
    seconds checkpoint_duration{};
    std::optional<seconds> deadline;
    std::vector<std::string> predecessors; // jobs that must be done before any task starts
};

enum class task_state { fetching, running, checkpointing, exited };
enum class exit_cause { none, done, stopped, error, no_room, busy, unknown };

struct task_status {
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    task_state state = task_state::fetching;
    exit_cause cause = exit_cause::none;
    bool checkpointed = false;
};

struct heartbeat {
    std::string machine, address, type, zone;
    bool spot = false;
    std::uint64_t incarnation = 0, sequence = 0, token = 0;
    std::optional<seconds> reclaim_notice;
    std::vector<task_status> tasks;
    // The message with the larger (incarnation, seq) is the newer one.
    bool newer_than(std::uint64_t s, std::uint64_t q) const {
        return incarnation > s || (incarnation == s && sequence > q);
    }
};

enum class command_kind { start, stop, remove };
struct command {
    command_kind kind = command_kind::start;
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    seconds grace{};
};

struct machine_type {
    std::string name;
    double cpus = 0, gpus = 0, memory_gb = 0, cache_gb = 0, fetch_gb_per_s = 0;
    double price = 0, spot_price = 0;
    seconds boot_time{};
    std::vector<std::string> zones;
};

enum class machine_state { booting, running, failed };

// A machine as the cloud lists it.
struct listed_machine {
    std::string id, address, type, zone;
    bool spot = false;
    machine_state state = machine_state::booting;
    seconds age{};
};

struct rental_request {
    std::string request, type, zone;
    bool spot = false;
    int count = 0;
};

struct job_status {
    std::string id;
    job_state state = job_state::pending;
    std::uint32_t done = 0, running = 0;
};

// A cancel that is durable at the key-value store.
struct cancel_notice {
    std::string job;
    std::uint64_t revision = 0;  // of the job's record that says so
    std::optional<wall_time> at; // not after the user was told; nothing: unknown
    bool operator==(const cancel_notice &) const = default;
};

struct txn_condition {
    std::string key;
    std::uint64_t version = 0;
};
struct txn_op {
    std::string key;
    std::string value; // JSON; empty: delete
    std::uint64_t lease = 0;
};
struct kv_item {
    std::string key, value; // empty value in an event: deleted
    std::uint64_t version = 0, lease = 0;
};

} // namespace spindlecroft
