// A job's specification as a JSON object, for the codecs of this folder only: submissions and job
// records have the same fields.
#pragma once
#include "wire/json_fields.hpp"
#include "wire/types.hpp"

namespace spindlecroft::wire {

[[nodiscard]] json::object job_spec_object(const job_spec &spec);
/// Reads a job's specification. Throws malformed_message for the first invalid field.
[[nodiscard]] job_spec job_spec_of(const json::object &object);

} // namespace spindlecroft::wire
