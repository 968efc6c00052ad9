#include "wire/submissions.hpp"
#include "wire/job_spec_json.hpp"
#include "wire/names.hpp"
#include <algorithm>

namespace spindlecroft::wire {

namespace {

constexpr std::string_view job_id_prefix = "job-";
constexpr std::size_t max_job_id_bytes = 100;

// Locale-independent, unlike std::isalnum.
bool is_job_id_character(char character) {
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') ||
           (character >= 'A' && character <= 'Z') || character == '-' || character == '_' ||
           character == '.';
}

} // namespace

bool valid_job_id(const std::string &id) {
    return id.size() > job_id_prefix.size() && id.size() <= max_job_id_bytes &&
           id.starts_with(job_id_prefix) && std::all_of(id.begin(), id.end(), is_job_id_character);
}

std::string_view job_state_name(job_state state) {
    return job_state_names.name_of(state);
}

job_spec parse_submission(const std::string &body) {
    return job_spec_of(parse_object(body));
}

std::string encode_job_spec(const job_spec &spec) {
    return json::serialize(job_spec_object(spec));
}

std::string encode_accepted(const std::string &id, job_state state) {
    json::object object;
    object["uid"] = id;
    object["stage"] = job_state_name(state);
    return json::serialize(object);
}

std::string encode_status(const job_status &status) {
    json::object object;
    object["uid"] = status.id;
    object["stage"] = job_state_name(status.state);
    object["done"] = status.done;
    object["running"] = status.running;
    return json::serialize(object);
}

std::string encode_error(const std::string &message) {
    json::object object;
    object["error"] = message;
    return json::serialize(object);
}

} // namespace spindlecroft::wire
