#include "wire/json_fields.hpp"
#include <cmath>

namespace spindlecroft::wire {

namespace {

constexpr std::size_t max_text_bytes = 200;
constexpr double max_amount = 1e12;
constexpr std::size_t max_nesting_depth = 16; // guards against a body that exhausts the stack

double checked_amount(const json::value &value, const char *field) {
    if (!value.is_number())
        throw_malformed(field, "must be a number");
    double amount = value.to_number<double>();
    if (!std::isfinite(amount) || amount < 0 || amount > max_amount)
        throw_malformed(field, "must be a finite number of at least 0");
    return amount;
}

} // namespace

void throw_malformed(const char *field, const char *problem) {
    throw malformed_message(field, problem);
}

json::object parse_object(const std::string &body) {
    boost::system::error_code ec;
    json::parse_options options;
    options.max_depth = max_nesting_depth;
    auto value = json::parse(body, ec, {}, options);
    if (ec)
        throw_malformed("body", "not JSON");
    if (!value.is_object())
        throw_malformed("body", "not an object");
    return std::move(value.as_object());
}

const json::value *find_field(const json::object &object, const char *field) {
    const auto *value = object.if_contains(field);
    return value && !value->is_null() ? value : nullptr;
}

const json::value &required_field(const json::object &object, const char *field) {
    const auto *value = find_field(object, field);
    if (!value)
        throw_malformed(field, "is missing");
    return *value;
}

std::string text_field(const json::object &object, const char *field) {
    const auto &value = required_field(object, field);
    if (!value.is_string())
        throw_malformed(field, "must be a text");
    const auto &text = value.get_string();
    if (text.empty() || text.size() > max_text_bytes)
        throw_malformed(field, "has a wrong length");
    return std::string(text);
}

std::optional<std::string> optional_text(const json::object &object, const char *field) {
    if (!find_field(object, field))
        return std::nullopt;
    return text_field(object, field);
}

double amount_field(const json::object &object, const char *field) {
    return checked_amount(required_field(object, field), field);
}

double amount_field_or(const json::object &object, const char *field, double fallback) {
    const auto *value = find_field(object, field);
    return value ? checked_amount(*value, field) : fallback;
}

seconds duration_field_or_zero(const json::object &object, const char *field) {
    return seconds{amount_field_or(object, field, 0)};
}

std::optional<seconds> optional_duration(const json::object &object, const char *field) {
    if (!find_field(object, field))
        return std::nullopt;
    return seconds{amount_field(object, field)};
}

std::uint64_t count_field(const json::object &object, const char *field) {
    const auto &value = required_field(object, field);
    if (value.is_uint64())
        return value.get_uint64();
    if (value.is_int64() && value.get_int64() >= 0)
        return static_cast<std::uint64_t>(value.get_int64());
    throw_malformed(field, "must be an integer of at least 0");
}

std::optional<std::uint64_t> optional_count(const json::object &object, const char *field) {
    if (!find_field(object, field))
        return std::nullopt;
    return count_field(object, field);
}

bool flag_field(const json::object &object, const char *field) {
    const auto &value = required_field(object, field);
    if (!value.is_bool())
        throw_malformed(field, "must be true or false");
    return value.get_bool();
}

bool flag_field_or(const json::object &object, const char *field, bool fallback) {
    return find_field(object, field) ? flag_field(object, field) : fallback;
}

const json::array &list_field(const json::object &object, const char *field) {
    const auto &value = required_field(object, field);
    if (!value.is_array())
        throw_malformed(field, "must be a list");
    return value.get_array();
}

std::vector<std::string> text_list_field(const json::object &object, const char *field) {
    std::vector<std::string> texts;
    for (const auto &element : list_field(object, field)) {
        if (!element.is_string())
            throw_malformed(field, "must hold texts");
        texts.emplace_back(element.get_string());
    }
    return texts;
}

const json::object &object_element(const json::value &element, const char *field) {
    if (!element.is_object())
        throw_malformed(field, "must hold objects");
    return element.get_object();
}

json::array text_array(const std::vector<std::string> &texts) {
    json::array array;
    for (const auto &text : texts)
        array.emplace_back(text);
    return array;
}

double epoch_seconds(wall_time moment) {
    return moment.time_since_epoch().count();
}

double epoch_seconds(std::optional<wall_time> moment) {
    return moment ? epoch_seconds(*moment) : 0;
}

wall_time wall_time_of(double epoch_seconds) {
    return wall_time{seconds{epoch_seconds}};
}

std::optional<wall_time> known_wall_time(double epoch_seconds) {
    if (epoch_seconds > 0)
        return wall_time_of(epoch_seconds);
    return std::nullopt;
}

} // namespace spindlecroft::wire
