// Checked access to the members of JSON objects, for the codecs of this folder only. A member that
// is null counts as absent. Every function throws malformed_message, which names the member.
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
[[noreturn]] void fail(const char *field, const char *problem);

/// Parses a body that must be one JSON object.
[[nodiscard]] json::object parse_object(const std::string &body);

/// The member, or nullptr if it is absent.
[[nodiscard]] const json::value *find_field(const json::object &object, const char *field);
/// The member, which must be present.
[[nodiscard]] const json::value &required_field(const json::object &object, const char *field);

/// A text of 1 to 200 bytes.
[[nodiscard]] std::string text_field(const json::object &object, const char *field);
[[nodiscard]] std::optional<std::string> optional_text(const json::object &object,
                                                       const char *field);

/// A finite number from 0 to 1e12.
[[nodiscard]] double amount_field(const json::object &object, const char *field);
[[nodiscard]] double amount_field_or(const json::object &object, const char *field,
                                     double fallback);
/// The same for a member that holds seconds; absent: 0 s.
[[nodiscard]] seconds duration_field_or_zero(const json::object &object, const char *field);
[[nodiscard]] std::optional<seconds> optional_duration(const json::object &object,
                                                       const char *field);

/// An integer of at least 0.
[[nodiscard]] std::uint64_t count_field(const json::object &object, const char *field);
[[nodiscard]] std::optional<std::uint64_t> optional_count(const json::object &object,
                                                          const char *field);

[[nodiscard]] bool flag_field(const json::object &object, const char *field);
[[nodiscard]] bool flag_field_or(const json::object &object, const char *field, bool fallback);

[[nodiscard]] const json::array &list_field(const json::object &object, const char *field);
/// A list whose elements are all texts.
[[nodiscard]] std::vector<std::string> text_list_field(const json::object &object,
                                                       const char *field);
/// An element of the list called `field`, which must be an object.
[[nodiscard]] const json::object &object_element(const json::value &element, const char *field);

[[nodiscard]] json::array text_array(const std::vector<std::string> &texts);

/// Times of day are kept as seconds since the epoch; 0 stands for a time that is not known.
[[nodiscard]] double epoch_seconds(wall_time moment);
[[nodiscard]] double epoch_seconds(std::optional<wall_time> moment);
[[nodiscard]] wall_time wall_time_of(double epoch_seconds);
[[nodiscard]] std::optional<wall_time> known_wall_time(double epoch_seconds);

} // namespace spindlecroft::wire
