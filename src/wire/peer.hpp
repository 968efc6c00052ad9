// Messages between controllers: CBOR maps from strings to integers or strings, with a list of
// cancels.
#pragma once
#include "wire/malformed_message.hpp"
#include "wire/types.hpp"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace spindlecroft::wire {

/// Version of the protocol between controllers. Messages of another version are rejected.
inline constexpr std::uint64_t peer_version = 2;

/// A request to another controller, or its answer.
struct peer_message {
    std::map<std::string, std::uint64_t> numbers;
    std::map<std::string, std::string> texts;
    std::vector<cancel_notice> cancels;
    /// Returns the number with the given key, or the fallback if there is none.
    [[nodiscard]] std::uint64_t number(const std::string &key, std::uint64_t fallback = 0) const;
    /// Returns the string with the given key, or an empty one if there is none.
    [[nodiscard]] std::string text(const std::string &key) const;
};
[[nodiscard]] std::string encode_peer_message(const peer_message &message);
/// Parses a message. Throws malformed_message.
peer_message parse_peer_message(const std::string &body);

} // namespace spindlecroft::wire
