// The names of enumerations' values on the wire: one table for each, used in both directions.
#pragma once
#include "wire/types.hpp"
#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace spindlecroft::wire {

/// One value and its name on the wire.
template <class Enum>
struct name_entry {
    Enum value;
    std::string_view name;
};

/// The names of an enumeration's values. No two entries share a value or a name.
template <class Enum, std::size_t Size>
struct name_table {
    std::array<name_entry<Enum>, Size> entries;

    /// The name of a value; empty if the value is never sent or received.
    [[nodiscard]] constexpr std::string_view name_of(Enum value) const {
        for (const auto &entry : entries)
            if (entry.value == value)
                return entry.name;
        return {};
    }

    /// The value with the given name; nullopt for an unknown name.
    [[nodiscard]] constexpr std::optional<Enum> value_of(std::string_view name) const {
        for (const auto &entry : entries)
            if (entry.name == name)
                return entry.value;
        return std::nullopt;
    }
};

inline constexpr name_table<job_state, 4> job_state_names{{{
    {job_state::pending, "pending"},
    {job_state::running, "running"},
    {job_state::done, "done"},
    {job_state::cancelled, "aborted"},
}}};

inline constexpr name_table<job_shape, 2> job_shape_names{{{
    {job_shape::array, "array"},
    {job_shape::service, "standing"},
}}};

inline constexpr name_table<priority_class, 4> priority_names{{{
    {priority_class::critical, "critical"},
    {priority_class::high, "urgent"},
    {priority_class::normal, "standard"},
    {priority_class::low, "idle"},
}}};

inline constexpr name_table<command_kind, 3> command_names{{{
    {command_kind::start, "start"},
    {command_kind::stop, "kill"},
    {command_kind::remove, "reap"},
}}};

/// A worker also sends "waiting", which is treated like "pulling".
inline constexpr name_table<task_state, 4> task_state_names{{{
    {task_state::fetching, "pulling"},
    {task_state::running, "running"},
    {task_state::checkpointing, "flushing"},
    {task_state::exited, "exited"},
}}};
inline constexpr std::string_view task_waiting_name = "waiting";

/// Any other name in a heartbeat counts as an error.
inline constexpr name_table<exit_cause, 6> exit_cause_names{{{
    {exit_cause::done, "done"},
    {exit_cause::stopped, "halted"},
    {exit_cause::error, "error"},
    {exit_cause::insufficient_resources, "no_room"},
    {exit_cause::busy, "in_use"},
    {exit_cause::unknown_image, "no_such"},
}}};

/// Any other name in the cloud's list counts as booting.
inline constexpr name_table<machine_state, 2> machine_state_names{{{
    {machine_state::running, "running"},
    {machine_state::failed, "failed"},
}}};

} // namespace spindlecroft::wire
