// For the readers of settings in this folder only.
#pragma once
#include "settings/settings.hpp"
#include <fmt/format.h>
#include <string>

namespace spindlecroft::settings {

/// Throws settings_error as "KEY: PROBLEM".
[[noreturn]] inline void fail(const std::string &key, const std::string &problem) {
    throw settings_error(fmt::format("{}: {}", key, problem));
}

/// The content of the file; throws settings_error if it can't be read.
[[nodiscard]] std::string read_file(const std::string &path);

} // namespace spindlecroft::settings
