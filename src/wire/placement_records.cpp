#include "wire/placement_records.hpp"
#include "wire/json_fields.hpp"
#include <charconv>
#include <fmt/format.h>

namespace spindlecroft::wire {

namespace {

constexpr std::size_t bits_per_digit = 4;

std::string hex_of(const std::vector<bool> &bits) {
    static constexpr char digits[] = "0123456789abcdef";
    std::string hex;
    for (std::size_t first = 0; first < bits.size(); first += bits_per_digit) {
        unsigned digit = 0;
        for (std::size_t k = 0; k < bits_per_digit && first + k < bits.size(); ++k)
            if (bits[first + k])
                digit |= 1U << k;
        hex += digits[digit];
    }
    return hex;
}

unsigned digit_value(char digit) {
    if (digit >= '0' && digit <= '9')
        return static_cast<unsigned>(digit - '0');
    if (digit >= 'a' && digit <= 'f')
        return static_cast<unsigned>(digit - 'a' + 10);
    throw_malformed("done", "must be hex digits");
}

std::vector<bool> bits_of(std::string_view hex) {
    std::vector<bool> bits;
    for (char character : hex) {
        auto digit = digit_value(character);
        for (std::size_t k = 0; k < bits_per_digit; ++k)
            bits.push_back((digit >> k) & 1U);
    }
    return bits;
}

placed_task placed_task_of(const std::string &job, const json::value &entry) {
    if (!entry.is_array() || entry.get_array().size() != 3 || !entry.get_array()[2].is_string())
        throw_malformed("placed", "must hold triples");
    const auto &triple = entry.get_array();
    placed_task task;
    task.job = job;
    task.index = triple[0].to_number<std::uint32_t>();
    task.attempt = triple[1].to_number<std::uint64_t>();
    task.machine = std::string(triple[2].get_string());
    return task;
}

// Splits the name "JOB/PART".
done_part done_part_of(const std::string &name, const json::value &hex) {
    done_part part;
    auto slash = name.rfind('/');
    const auto *end = name.data() + name.size();
    if (slash == std::string::npos || !hex.is_string() || name.data() + slash + 1 == end ||
        std::from_chars(name.data() + slash + 1, end, part.part).ptr != end)
        throw_malformed("done", "must hold parts of jobs");
    part.job = name.substr(0, slash);
    part.bits = bits_of(hex.get_string());
    return part;
}

rental_request rental_request_of(const json::value &entry) {
    if (!entry.is_array() || entry.get_array().size() != 5)
        throw_malformed("requests", "must hold lists of five");
    const auto &values = entry.get_array();
    if (!values[0].is_string() || !values[1].is_string() || !values[2].is_string() ||
        !values[3].is_bool())
        throw_malformed("requests", "must hold texts and a flag");
    rental_request request;
    request.id = std::string(values[0].get_string());
    request.type = std::string(values[1].get_string());
    request.zone = std::string(values[2].get_string());
    request.spot = values[3].get_bool();
    request.count = values[4].to_number<int>();
    return request;
}

} // namespace

std::string encode_placements(const std::vector<placed_task> &tasks) {
    json::object object;
    for (const auto &task : tasks) {
        auto &list = object[task.job];
        if (!list.is_array())
            list = json::array();
        list.get_array().push_back(json::array{task.index, task.attempt, task.machine});
    }
    return json::serialize(object);
}

std::size_t placement_bytes(const placed_task &task) {
    constexpr std::size_t entry_punctuation = 7; // brackets, commas and quotes
    constexpr std::size_t key_punctuation = 6;   // quotes, colon, brackets and comma
    // The placement's own entry, and the job's key in case the record does not contain it yet.
    auto numbers = fmt::formatted_size("{}{}", task.index, task.attempt);
    return task.machine.size() + numbers + entry_punctuation + task.job.size() + key_punctuation;
}

std::vector<placed_task> parse_placements(const std::string &value) {
    auto object = parse_object(value);
    std::vector<placed_task> tasks;
    for (const auto &[job, list] : object) {
        if (!list.is_array())
            throw_malformed("placed", "must hold lists");
        for (const auto &entry : list.get_array())
            tasks.push_back(placed_task_of(std::string(job), entry));
    }
    return tasks;
}

std::string encode_done_parts(const std::vector<done_part> &parts) {
    json::object object;
    for (const auto &part : parts)
        object[fmt::format("{}/{}", part.job, part.part)] = hex_of(part.bits);
    return json::serialize(object);
}

std::size_t done_part_bytes(const std::string &job, std::size_t tasks) {
    constexpr std::size_t name_and_punctuation = 12; // the part's number, quotes, colon and comma
    return job.size() + (tasks + bits_per_digit - 1) / bits_per_digit + name_and_punctuation;
}

std::vector<done_part> parse_done_parts(const std::string &value) {
    auto object = parse_object(value);
    std::vector<done_part> parts;
    for (const auto &[name, hex] : object)
        parts.push_back(done_part_of(std::string(name), hex));
    return parts;
}

std::string encode_leader_record(const leader_record &record) {
    json::object object;
    object["node"] = record.node;
    object["incarnation"] = record.incarnation;
    object["raise"] = record.token_raises;
    return json::serialize(object);
}

leader_record parse_leader_record(const std::string &value) {
    auto object = parse_object(value);
    leader_record record;
    record.node = text_field(object, "node");
    record.incarnation = text_field(object, "incarnation");
    record.token_raises = count_field(object, "raise");
    return record;
}

std::string encode_rental_record(const rental_record &record) {
    json::object object;
    object["at"] = epoch_seconds(record.requested_at);
    json::array requests;
    for (const auto &request : record.requests)
        requests.push_back(
            json::array{request.id, request.type, request.zone, request.spot, request.count});
    object["requests"] = std::move(requests);
    return json::serialize(object);
}

std::size_t rental_bytes(const rental_request &request) {
    constexpr std::size_t time_digits = 24;
    constexpr std::size_t punctuation_flag_and_count = 24;
    if (request.id.empty())
        return encode_rental_record({}).size() + time_digits;
    return request.id.size() + request.type.size() + request.zone.size() +
           punctuation_flag_and_count;
}

rental_record parse_rental_record(const std::string &value) {
    auto object = parse_object(value);
    rental_record record;
    record.requested_at = wall_time_of(amount_field(object, "at"));
    for (const auto &entry : list_field(object, "requests"))
        record.requests.push_back(rental_request_of(entry));
    return record;
}

} // namespace spindlecroft::wire
