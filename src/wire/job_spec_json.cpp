#include "wire/job_spec_json.hpp"
#include "constants.hpp"
#include "wire/names.hpp"
#include "wire/submissions.hpp"
#include <set>

namespace spindlecroft::wire {

namespace {

void write_placement(json::object &object, const job_spec &spec) {
    if (spec.machine_types)
        object["frames"] = text_array(*spec.machine_types);
    if (spec.zone)
        object["croft"] = *spec.zone;
    object["samePlace"] = spec.same_zone;
    object["scatter"] = spec.spread_across_zones;
    object["loaners"] = spec.may_use_spot;
}

void write_durations(json::object &object, const job_spec &spec) {
    object["reckonS"] = spec.estimate.count();
    object["knotS"] = spec.checkpoint_interval.count();
    object["tieS"] = spec.checkpoint_duration.count();
    if (spec.deadline)
        object["dueS"] = spec.deadline->count();
}

void read_identity(job_spec &spec, const json::object &object) {
    spec.id = text_field(object, "uid");
    if (!valid_job_id(spec.id))
        throw_malformed("uid", "is not of the form job-...");
    spec.job_class = text_field(object, "lot");
    spec.team = text_field(object, "crew");
}

void read_shape_and_priority(job_spec &spec, const json::object &object) {
    auto shape = job_shape_names.value_of(text_field(object, "shape"));
    if (!shape)
        throw_malformed("shape", "must be array or standing");
    spec.shape = *shape;
    auto priority = priority_names.value_of(text_field(object, "rank"));
    if (!priority)
        throw_malformed("rank", "must be critical, urgent, standard or idle");
    spec.priority = *priority;
}

void read_demand(job_spec &spec, const json::object &object) {
    auto tasks = count_field(object, "threads");
    if (tasks == 0 || tasks > constants::max_tasks_per_job)
        throw_malformed("threads", "must be from 1 to 100000");
    spec.tasks = static_cast<std::uint32_t>(tasks);
    spec.cpus = amount_field(object, "cores");
    spec.gpus = amount_field_or(object, "gpus", 0);
    spec.memory_gb = amount_field(object, "memGb");
    spec.image = text_field(object, "bobbin");
    spec.image_gb = amount_field(object, "sizeGb");
}

void read_placement(job_spec &spec, const json::object &object) {
    if (find_field(object, "frames"))
        spec.machine_types = text_list_field(object, "frames");
    spec.zone = optional_text(object, "croft");
    spec.same_zone = flag_field_or(object, "samePlace", false);
    spec.spread_across_zones = flag_field_or(object, "scatter", false);
    spec.may_use_spot = flag_field_or(object, "loaners", false);
}

void read_durations(job_spec &spec, const json::object &object) {
    spec.estimate = duration_field_or_zero(object, "reckonS");
    spec.checkpoint_interval = duration_field_or_zero(object, "knotS");
    spec.checkpoint_duration = duration_field_or_zero(object, "tieS");
    spec.deadline = optional_duration(object, "dueS");
}

std::vector<std::string> predecessors_of(const json::array &ids, const std::string &job) {
    std::vector<std::string> predecessors;
    std::set<std::string> seen{job}; // a job can't be its own predecessor
    for (const auto &id : ids) {
        if (!id.is_string() || !valid_job_id(std::string(id.get_string())))
            throw_malformed("awaits", "must hold job ids");
        predecessors.emplace_back(id.get_string());
        if (!seen.insert(predecessors.back()).second)
            throw_malformed("awaits", "names a job twice, or the job itself");
    }
    return predecessors;
}

} // namespace

json::object job_spec_object(const job_spec &spec) {
    json::object object;
    object["uid"] = spec.id;
    object["lot"] = spec.job_class;
    object["crew"] = spec.team;
    object["shape"] = job_shape_names.name_of(spec.shape);
    object["rank"] = priority_names.name_of(spec.priority);
    object["threads"] = spec.tasks;
    object["cores"] = spec.cpus;
    object["gpus"] = spec.gpus;
    object["memGb"] = spec.memory_gb;
    object["bobbin"] = spec.image;
    object["sizeGb"] = spec.image_gb;
    write_placement(object, spec);
    write_durations(object, spec);
    if (!spec.predecessors.empty())
        object["awaits"] = text_array(spec.predecessors);
    return object;
}

job_spec job_spec_of(const json::object &object) {
    job_spec spec;
    read_identity(spec, object);
    read_shape_and_priority(spec, object);
    read_demand(spec, object);
    read_placement(spec, object);
    read_durations(spec, object);
    if (find_field(object, "awaits"))
        spec.predecessors = predecessors_of(list_field(object, "awaits"), spec.id);
    return spec;
}

} // namespace spindlecroft::wire
