// The size limit of records.
#pragma once
#include "settings/settings.hpp"
#include <cstddef>

namespace spindlecroft::records {

// Returns the number of bytes up to which records are filled, below the store's limit on values.
[[nodiscard]] std::size_t max_record_bytes(const settings::settings &settings);

} // namespace spindlecroft::records
