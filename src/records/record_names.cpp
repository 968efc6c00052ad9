#include "records/record_names.hpp"
#include <fmt/format.h>

namespace spindlecroft::records {

std::string record_name_generator::next(const model::leadership_term &term) {
    return fmt::format("{}-{}", term.first_token, ++count_);
}

} // namespace spindlecroft::records
