// What travels, in the field's standard terms. Only wire/codec.cpp knows the words on the wire.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace spindlecroft {

enum class job_shape { array, service };
enum class priority { critical, high, normal, low }; // lower value goes first
enum class job_stage { pending, running, done, cancelled };

struct job_spec {
    std::string id, job_class, team;
    job_shape shape = job_shape::array;
    priority rank = priority::normal;
    std::uint32_t tasks = 0;
    double cpus = 0, gpus = 0, memory_gb = 0;
    std::string image;
    double image_gb = 0;
    std::optional<std::vector<std::string>> types;
    std::optional<std::string> zone;
    bool one_zone = false, spread = false, spot = false;
    double estimate_s = 0, checkpoint_s = 0, save_s = 0;
    std::optional<double> deadline_s;
    std::vector<std::string> predecessors; // jobs that must be done before any task starts
};

enum class task_state { fetching, running, saving, exited };
enum class exit_cause { none, done, stopped, error, no_room, busy, unknown };

struct task_report {
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    task_state state = task_state::fetching;
    exit_cause cause = exit_cause::none;
    bool saved = false;
};

struct worker_report {
    std::string machine, address, type, zone;
    bool spot = false;
    std::uint64_t session = 0, seq = 0, token = 0;
    std::optional<double> notice_s;
    std::vector<task_report> tasks;
    // The message with the larger (session, seq) is the newer one.
    bool newer_than(std::uint64_t s, std::uint64_t q) const {
        return session > s || (session == s && seq > q);
    }
};

enum class order_kind { start, stop, forget };
struct order {
    order_kind kind = order_kind::start;
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    double grace_s = 0;
};

struct machine_type {
    std::string name;
    double cpus = 0, gpus = 0, memory_gb = 0, cache_gb = 0, fetch_gb_per_s = 0;
    double price = 0, spot_price = 0, boot_s = 0;
    std::vector<std::string> zones;
};

struct host {
    std::string id, address, type, zone;
    bool spot = false;
    enum class stage { booting, running, failed } state = stage::booting;
    double age_s = 0;
};

struct rental {
    std::string request, type, zone;
    bool spot = false;
    int count = 0;
};

struct job_status {
    std::string id;
    job_stage stage = job_stage::pending;
    std::uint32_t done = 0, running = 0;
};

// A cancel that is durable at the state service.
struct cancel_notice {
    std::string job;
    std::uint64_t revision = 0; // of the job's record that says so
    double at = 0;              // s, time of day; not after the user was told
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
