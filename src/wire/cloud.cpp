#include "wire/cloud.hpp"
#include "wire/json_fields.hpp"
#include "wire/names.hpp"
#include <fmt/format.h>

namespace spindlecroft::wire {

namespace {

machine_type machine_type_of(const json::object &object) {
    machine_type type;
    type.name = text_field(object, "name");
    type.cpus = amount_field(object, "cores");
    type.gpus = amount_field_or(object, "gpus", 0);
    type.memory_gb = amount_field(object, "memGb");
    type.cache_gb = amount_field_or(object, "localGb", 0);
    type.fetch_gb_per_s = amount_field_or(object, "pullGbPerS", 0);
    type.price = amount_field_or(object, "hourly", 0);
    type.spot_price = amount_field_or(object, "marketPrice", 0);
    type.boot_time = duration_field_or_zero(object, "startupS");
    type.zones = text_list_field(object, "crofts");
    return type;
}

json::object machine_type_object(const machine_type &type) {
    json::object object;
    object["name"] = type.name;
    object["cores"] = type.cpus;
    object["gpus"] = type.gpus;
    object["memGb"] = type.memory_gb;
    object["localGb"] = type.cache_gb;
    object["pullGbPerS"] = type.fetch_gb_per_s;
    object["hourly"] = type.price;
    object["marketPrice"] = type.spot_price;
    object["startupS"] = type.boot_time.count();
    object["crofts"] = text_array(type.zones);
    return object;
}

listed_machine listed_machine_of(const json::object &object) {
    listed_machine machine;
    machine.id = text_field(object, "uid");
    machine.address = optional_text(object, "address").value_or("");
    machine.type = text_field(object, "frame");
    machine.zone = text_field(object, "croft");
    machine.spot = flag_field_or(object, "loaners", false);
    auto state = machine_state_names.value_of(text_field(object, "stage"));
    machine.state = state.value_or(machine_state::booting);
    machine.age = duration_field_or_zero(object, "heldS");
    return machine;
}

} // namespace

std::vector<machine_type> parse_machine_types(const std::string &body) {
    auto object = parse_object(body);
    std::vector<machine_type> types;
    for (const auto &type : list_field(object, "frames"))
        types.push_back(machine_type_of(object_element(type, "frames")));
    return types;
}

std::string encode_machine_types(const std::vector<machine_type> &types) {
    json::array encoded;
    for (const auto &type : types)
        encoded.push_back(machine_type_object(type));
    json::object object;
    object["frames"] = std::move(encoded);
    return json::serialize(object);
}

std::string encode_rental_request(const rental_request &request) {
    json::object object;
    object["hire"] = request.id;
    object["frame"] = request.type;
    object["croft"] = request.zone;
    object["loaners"] = request.spot;
    object["count"] = request.count;
    return json::serialize(object);
}

std::vector<std::string> parse_rented_machines(const std::string &body) {
    return text_list_field(parse_object(body), "spindles");
}

std::string encode_deletion(const std::vector<std::string> &machines) {
    json::object object;
    object["spindles"] = text_array(machines);
    return json::serialize(object);
}

listed_machine_page parse_machine_list(const std::string &body) {
    auto object = parse_object(body);
    listed_machine_page page;
    for (const auto &machine : list_field(object, "spindles"))
        page.machines.push_back(listed_machine_of(object_element(machine, "spindles")));
    page.has_more = flag_field_or(object, "more", false);
    return page;
}

std::string machine_list_target(const std::string &after, int limit) {
    if (after.empty())
        return fmt::format("/hosts?most={}", limit);
    return fmt::format("/hosts?since={}&most={}", after, limit);
}

} // namespace spindlecroft::wire
