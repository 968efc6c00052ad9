// A job's description as a JSON object, for the codecs of this folder only: submissions and our
// job records hold the same members.
#pragma once
#include "wire/json_fields.hpp"
#include "wire/types.hpp"

namespace spindlecroft::wire {

[[nodiscard]] json::object job_spec_object(const job_spec &spec);
/// Throws malformed_message for the first member that is wrong.
[[nodiscard]] job_spec job_spec_of(const json::object &object);

} // namespace spindlecroft::wire
