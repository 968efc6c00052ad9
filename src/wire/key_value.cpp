#include "wire/key_value.hpp"
#include "wire/json_fields.hpp"
#include <fmt/format.h>

namespace spindlecroft::wire {

namespace {

kv_item item_of(const json::object &object) {
    kv_item item;
    item.key = text_field(object, "key");
    item.value = json::serialize(required_field(object, "data"));
    item.revision = count_field(object, "mark");
    item.lease = optional_count(object, "loan").value_or(0);
    return item;
}

kv_item event_of(const json::object &object) {
    kv_item item;
    if (find_field(object, "write")) {
        item.key = text_field(object, "write");
        item.value = json::serialize(required_field(object, "data"));
    } else {
        item.key = text_field(object, "drop");
    }
    item.revision = count_field(object, "mark");
    return item;
}

json::array conditions_array(const std::vector<txn_condition> &conditions) {
    json::array array;
    for (const auto &condition : conditions) {
        json::object object;
        object["key"] = condition.key;
        object["mark"] = condition.revision;
        array.push_back(std::move(object));
    }
    return array;
}

// Values are JSON already, and are inserted unchanged, which saves parsing them.
std::string encode_operation(const txn_op &operation) {
    auto key = json::serialize(json::string(operation.key));
    if (operation.value.empty())
        return "{\"drop\":" + key + "}";
    auto text = "{\"write\":" + key + ",\"data\":" + operation.value;
    if (operation.lease)
        text += ",\"loan\":" + std::to_string(operation.lease);
    return text + "}";
}

} // namespace

std::string encode_txn(const std::vector<txn_condition> &conditions,
                       const std::vector<txn_op> &ops) {
    auto body = "{\"when\":" + json::serialize(conditions_array(conditions)) + ",\"apply\":[";
    const char *separator = "";
    for (const auto &operation : ops) {
        body += separator;
        body += encode_operation(operation);
        separator = ",";
    }
    body += "]}";
    return body;
}

txn_answer parse_txn_answer(const std::string &body) {
    auto object = parse_object(body);
    txn_answer answer;
    answer.revision = optional_count(object, "ledger").value_or(0);
    answer.error = optional_text(object, "error").value_or("");
    if (find_field(object, "failed"))
        answer.failed = text_list_field(object, "failed");
    return answer;
}

range_answer parse_range_answer(const std::string &body) {
    auto object = parse_object(body);
    range_answer answer;
    for (const auto &item : list_field(object, "items"))
        answer.items.push_back(item_of(object_element(item, "items")));
    answer.has_more = flag_field_or(object, "more", false);
    answer.revision = count_field(object, "ledger");
    return answer;
}

std::string range_target(const std::string &prefix, const std::string &after, int limit) {
    if (after.empty())
        return fmt::format("/kv?starts={}&most={}", prefix, limit);
    return fmt::format("/kv?starts={}&since={}&most={}", prefix, after, limit);
}

std::optional<kv_item> parse_key_value_item(const std::string &body) {
    return item_of(parse_object(body));
}

std::uint64_t parse_store_revision(const std::string &body) {
    return count_field(parse_object(body), "ledger");
}

range_answer parse_watch_answer(const std::string &body) {
    auto object = parse_object(body);
    range_answer answer;
    answer.revision = count_field(object, "ledger");
    if (find_field(object, "news"))
        for (const auto &event : list_field(object, "news"))
            answer.items.push_back(event_of(object_element(event, "news")));
    return answer;
}

std::string watch_target(const std::string &prefix, std::uint64_t since, int hold_ms) {
    return fmt::format("/watch?starts={}&since={}&holdMs={}", prefix, since, hold_ms);
}

bool json_equal(const std::string &left, const std::string &right) {
    boost::system::error_code left_error;
    boost::system::error_code right_error;
    auto left_value = json::parse(left, left_error);
    auto right_value = json::parse(right, right_error);
    return !left_error && !right_error && left_value == right_value;
}

std::string encode_lease_request(int ttl_ms) {
    return fmt::format("{{\"ttlMs\":{}}}", ttl_ms);
}

std::uint64_t parse_lease_id(const std::string &body) {
    return count_field(parse_object(body), "loan");
}

} // namespace spindlecroft::wire
