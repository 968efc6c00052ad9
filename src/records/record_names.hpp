// Names of the records that jobs share.
#pragma once
#include "model/cluster_state.hpp"
#include <cstdint>
#include <string>

namespace spindlecroft::records {

// Generates names for records of one kind that are unique across leaderships.
class record_name_generator {
  public:
    [[nodiscard]] std::string next(const model::leadership_term &term);

  private:
    std::uint64_t count_ = 0;
};

} // namespace spindlecroft::records
