// Names of the records that jobs share.
#pragma once
#include "model/cluster_state.hpp"
#include <cstdint>
#include <string>

namespace spindlecroft::records {

// Gives out names that no other leadership uses, for records of one kind.
class record_name_generator {
  public:
    [[nodiscard]] std::string next(const model::leadership_term &term);

  private:
    std::uint64_t count_ = 0;
};

} // namespace spindlecroft::records
