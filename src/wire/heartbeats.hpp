// Messages between workers and us: heartbeats and the commands that answer or follow them.
//
//   on the wire   here
//   checkin       heartbeat
//   spindle       machine
//   frame         machine type
//   croft         zone
//   loaners       spot machine
//   shift         incarnation of the worker process
//   tally         sequence number of the heartbeat
//   warrant       fencing token
//   recallS       notice before a spot machine is reclaimed
//   threads       tasks, each a thread "JOB/INDEX" with its try (attempt)
//   stage         task state (pulling or waiting: fetching; flushing: checkpointing)
//   cause         exit cause (halted: stopped, in_use: busy, no_such: unknown)
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

/// Throws malformed_message.
[[nodiscard]] heartbeat parse_heartbeat(const std::string &body);
[[nodiscard]] std::string encode_heartbeat_answer(std::uint64_t token,
                                                  const std::vector<command> &commands);
/// Commands sent to a worker outside the answer to a heartbeat; meant for one incarnation only.
[[nodiscard]] std::string encode_direct_commands(std::uint64_t token, std::uint64_t incarnation,
                                                 const std::vector<command> &commands);
/// Sends a worker to the leader; an empty name: no leader is known.
[[nodiscard]] std::string encode_redirect(const std::string &node);

} // namespace spindlecroft::wire
