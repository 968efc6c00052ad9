// Checked access to the fields of JSON objects, for the codecs of this folder only. A field that is
// null counts as absent. The functions throw malformed_message with the name of the invalid field.
#pragma once
#include "common/time.hpp"
#include "wire/malformed_message.hpp"
#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace spindlecroft::wire {

namespace json = boost::json;

/// Throws malformed_message for the field.
[[noreturn]] void throw_malformed(const char *field, const char *problem);

/// Parses a body that must be one JSON object.
[[nodiscard]] json::object parse_object(const std::string &body);

/// Returns the field's value, or nullptr if it is absent.
[[nodiscard]] const json::value *find_field(const json::object &object, const char *field);
/// Returns the field's value, which must be present.
[[nodiscard]] const json::value &required_field(const json::object &object, const char *field);

/// Reads a string of 1 to 200 bytes.
[[nodiscard]] std::string text_field(const json::object &object, const char *field);
[[nodiscard]] std::optional<std::string> optional_text(const json::object &object,
                                                       const char *field);

/// Reads a finite number from 0 to 1e12.
[[nodiscard]] double amount_field(const json::object &object, const char *field);
[[nodiscard]] double amount_field_or(const json::object &object, const char *field,
                                     double fallback);
/// Reads such a number as a duration in seconds; 0 s if the field is absent.
[[nodiscard]] seconds duration_field_or_zero(const json::object &object, const char *field);
[[nodiscard]] std::optional<seconds> optional_duration(const json::object &object,
                                                       const char *field);

/// Reads an integer of at least 0.
[[nodiscard]] std::uint64_t count_field(const json::object &object, const char *field);
[[nodiscard]] std::optional<std::uint64_t> optional_count(const json::object &object,
                                                          const char *field);

[[nodiscard]] bool flag_field(const json::object &object, const char *field);
[[nodiscard]] bool flag_field_or(const json::object &object, const char *field, bool fallback);

[[nodiscard]] const json::array &list_field(const json::object &object, const char *field);
/// Reads a list of strings.
[[nodiscard]] std::vector<std::string> text_list_field(const json::object &object,
                                                       const char *field);
/// Returns an element of the list `field`, which must be an object.
[[nodiscard]] const json::object &object_element(const json::value &element, const char *field);

[[nodiscard]] json::array text_array(const std::vector<std::string> &texts);

/// Converts between wall times and the seconds since the epoch in records and messages, where 0
/// stands for an unknown time.
[[nodiscard]] double epoch_seconds(wall_time moment);
[[nodiscard]] double epoch_seconds(std::optional<wall_time> moment);
[[nodiscard]] wall_time wall_time_of(double epoch_seconds);
[[nodiscard]] std::optional<wall_time> known_wall_time(double epoch_seconds);

} // namespace spindlecroft::wire
