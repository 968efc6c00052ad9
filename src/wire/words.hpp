// The wire's words for each enumeration: one table each, read in both directions.
#pragma once
#include "wire/types.hpp"
#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace spindlecroft::wire {

/// One value and its word on the wire.
template <class Enum>
struct word_entry {
    Enum value;
    std::string_view word;
};

/// The words of an enumeration. No two entries share a value or a word.
template <class Enum, std::size_t Size>
struct word_table {
    std::array<word_entry<Enum>, Size> entries;

    /// The word for a value; empty for a value that never travels.
    [[nodiscard]] constexpr std::string_view word(Enum value) const {
        for (const auto &entry : entries)
            if (entry.value == value)
                return entry.word;
        return {};
    }

    [[nodiscard]] constexpr std::optional<Enum> value(std::string_view word) const {
        for (const auto &entry : entries)
            if (entry.word == word)
                return entry.value;
        return std::nullopt;
    }
};

inline constexpr word_table<job_state, 4> job_state_words{{{
    {job_state::pending, "pending"},
    {job_state::running, "running"},
    {job_state::done, "done"},
    {job_state::cancelled, "aborted"},
}}};

inline constexpr word_table<job_shape, 2> job_shape_words{{{
    {job_shape::array, "array"},
    {job_shape::service, "standing"},
}}};

inline constexpr word_table<priority_class, 4> priority_words{{{
    {priority_class::critical, "critical"},
    {priority_class::high, "urgent"},
    {priority_class::normal, "standard"},
    {priority_class::low, "idle"},
}}};

inline constexpr word_table<command_kind, 3> command_words{{{
    {command_kind::start, "start"},
    {command_kind::stop, "kill"},
    {command_kind::remove, "reap"},
}}};

/// A worker also says "waiting", which means the same to us as "pulling".
inline constexpr word_table<task_state, 4> task_state_words{{{
    {task_state::fetching, "pulling"},
    {task_state::running, "running"},
    {task_state::checkpointing, "flushing"},
    {task_state::exited, "exited"},
}}};
inline constexpr std::string_view task_waiting_word = "waiting";

/// Any other word counts as an error.
inline constexpr word_table<exit_cause, 6> exit_cause_words{{{
    {exit_cause::done, "done"},
    {exit_cause::stopped, "halted"},
    {exit_cause::error, "error"},
    {exit_cause::insufficient_resources, "no_room"},
    {exit_cause::busy, "in_use"},
    {exit_cause::unknown_image, "no_such"},
}}};

/// Any other word counts as booting.
inline constexpr word_table<machine_state, 2> machine_state_words{{{
    {machine_state::running, "running"},
    {machine_state::failed, "failed"},
}}};

} // namespace spindlecroft::wire
