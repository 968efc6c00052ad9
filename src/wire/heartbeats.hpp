// Messages between workers and controllers: heartbeats, and commands, which are sent in the answer
// to a heartbeat or directly.
//
//   on the wire   in the program
//   checkin       heartbeat
//   spindle       machine
//   frame         machine type
//   croft         zone
//   loaners       spot machine
//   shift         incarnation of the worker process
//   tally         sequence number of the heartbeat
//   warrant       fencing token
//   recallS       reclaim notice of a spot machine
//   threads       tasks, each a thread "JOB/INDEX" with its try (attempt)
//   stage         task state (pulling or waiting: fetching; flushing: checkpointing)
//   cause         exit cause (halted: stopped, no_room: insufficient_resources, in_use: busy,
//                 no_such: unknown_image)
//   kept          checkpointed
//   orders        commands
//   verb          kind of command (kill: stop, reap: remove)
//   slackS        grace period of a stop
//   foreman       the leader, in a redirect
#pragma once
#include "wire/malformed_message.hpp"
#include "wire/types.hpp"
#include <cstdint>
#include <string>
#include <vector>

namespace spindlecroft::wire {

inline constexpr const char *path_heartbeat = "/checkin";
inline constexpr const char *path_commands = "/commands";

/// Parses a heartbeat. Throws malformed_message.
[[nodiscard]] heartbeat parse_heartbeat(const std::string &body);
/// Encodes the leader's answer to a heartbeat: its fencing token and commands.
[[nodiscard]] std::string encode_heartbeat_answer(std::uint64_t token,
                                                  const std::vector<command> &commands);
/// Encodes commands that are sent to a worker directly; only the given incarnation executes them.
[[nodiscard]] std::string encode_direct_commands(std::uint64_t token, std::uint64_t incarnation,
                                                 const std::vector<command> &commands);
/// Encodes the answer that redirects a worker to the leader; an empty name: no leader is known.
[[nodiscard]] std::string encode_redirect(const std::string &node);

} // namespace spindlecroft::wire
