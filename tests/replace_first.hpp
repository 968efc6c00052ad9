// Text replacement for tests that change one field of a valid message or file.
#pragma once
#include <string>

namespace spindlecroft::test {

// Returns the text with the first occurrence of `from`, which must exist, replaced by `to`.
inline std::string replace_first(std::string text, const std::string &from, const std::string &to) {
    auto position = text.find(from);
    return text.replace(position, from.size(), to);
}

} // namespace spindlecroft::test
