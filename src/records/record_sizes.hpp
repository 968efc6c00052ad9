// How large a record may be.
#pragma once
#include "settings/settings.hpp"
#include <cstddef>

namespace spindlecroft::records {

// Records are filled to this many bytes, so that they stay below the store's limit on values.
[[nodiscard]] std::size_t max_record_bytes(const settings::settings &settings);

} // namespace spindlecroft::records
