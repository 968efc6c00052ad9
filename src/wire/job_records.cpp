#include "wire/job_records.hpp"
#include "wire/job_spec_json.hpp"
#include "wire/submissions.hpp"

namespace spindlecroft::wire {

namespace {

// Guards against controllers of versions before 0.5, which would ignore the list of predecessors
// and start the job too early: they require the field "job", and ignore a record without it.
constexpr const char *dependent_job_field = "dependentJob";
constexpr const char *independent_job_field = "job";

} // namespace

std::string encode_job_record(const job_record &record) {
    json::object object;
    object["cancelled"] = record.cancelled;
    object["at"] = epoch_seconds(record.accepted_at);
    if (record.cancelled)
        object["cancelledAt"] = epoch_seconds(record.cancelled_at);
    const auto *field =
        record.spec.predecessors.empty() ? independent_job_field : dependent_job_field;
    object[field] = job_spec_object(record.spec);
    return json::serialize(object);
}

job_record parse_job_record(const std::string &value) {
    auto object = parse_object(value);
    job_record record;
    record.cancelled = flag_field(object, "cancelled");
    record.accepted_at = wall_time_of(amount_field(object, "at"));
    record.cancelled_at = known_wall_time(amount_field_or(object, "cancelledAt", 0));
    const auto *field =
        find_field(object, dependent_job_field) ? dependent_job_field : independent_job_field;
    record.spec = job_spec_of(object_element(required_field(object, field), field));
    return record;
}

std::string encode_ended_record(const ended_record &record) {
    json::object object;
    object["stage"] = job_state_name(record.state);
    object["done"] = record.done;
    if (record.ended_at > wall_time{})
        object["at"] = epoch_seconds(record.ended_at); // versions before 0.5 ignore it
    return json::serialize(object);
}

ended_record parse_ended_record(const std::string &value) {
    auto object = parse_object(value);
    ended_record record;
    bool done = text_field(object, "stage") == job_state_name(job_state::done);
    record.state = done ? job_state::done : job_state::cancelled;
    record.done = static_cast<std::uint32_t>(count_field(object, "done"));
    record.ended_at = known_wall_time(amount_field_or(object, "at", 0));
    return record;
}

std::string encode_suspects(const std::vector<std::string> &jobs) {
    return json::serialize(json::object{{"jobs", text_array(jobs)}});
}

std::vector<std::string> parse_suspects(const std::string &value) {
    auto object = parse_object(value);
    const auto *jobs = object.if_contains("jobs");
    if (!jobs || !jobs->is_array())
        throw_malformed("jobs", "must be a list");
    std::vector<std::string> suspects;
    for (const auto &job : jobs->get_array()) {
        if (!job.is_string())
            throw_malformed("jobs", "must hold strings");
        suspects.emplace_back(job.get_string());
    }
    return suspects;
}

std::size_t suspects_bytes(const std::string &job) {
    constexpr std::string_view empty_record = R"({"jobs":[]})";
    constexpr std::size_t quotes_and_comma = 3;
    return job.empty() ? empty_record.size() : job.size() + quotes_and_comma;
}

} // namespace spindlecroft::wire
