// Errors and file access of the settings' parsers, for this folder only.
#pragma once
#include "settings/settings.hpp"
#include <fmt/format.h>
#include <string>

namespace spindlecroft::settings {

/// Throws settings_error with the text "KEY: PROBLEM".
[[noreturn]] inline void throw_settings_error(const std::string &key, const std::string &problem) {
    throw settings_error(fmt::format("{}: {}", key, problem));
}

/// Returns the content of the file. Throws settings_error if it can't be read.
[[nodiscard]] std::string read_file(const std::string &path);

} // namespace spindlecroft::settings
