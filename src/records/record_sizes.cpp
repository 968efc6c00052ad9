#include "records/record_sizes.hpp"
#include "constants.hpp"

namespace spindlecroft::records {

namespace {

constexpr std::size_t bytes_per_kb = 1024;

} // namespace

std::size_t max_record_bytes(const settings::settings &settings) {
    return static_cast<std::size_t>(constants::placement_record_fill * settings.value_kb *
                                    bytes_per_kb);
}

} // namespace spindlecroft::records
