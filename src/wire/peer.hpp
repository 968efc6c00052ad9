// Messages between controllers: CBOR maps of text to integers and texts, and a list of cancels.
#pragma once
#include "wire/malformed_message.hpp"
#include "wire/types.hpp"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace spindlecroft::wire {

/// A message of another version counts as not heard.
inline constexpr std::uint64_t peer_version = 2;

/// A question to another controller, or its answer.
struct peer_message {
    std::map<std::string, std::uint64_t> numbers;
    std::map<std::string, std::string> texts;
    std::vector<cancel_notice> cancels;
    /// The number of that name, or the fallback if there is none.
    [[nodiscard]] std::uint64_t number(const std::string &key, std::uint64_t fallback = 0) const;
    /// The text of that name, or an empty one.
    [[nodiscard]] std::string text(const std::string &key) const;
};
[[nodiscard]] std::string encode_peer_message(const peer_message &message);
/// Throws malformed_message.
peer_message parse_peer_message(const std::string &body);

} // namespace spindlecroft::wire
