// The record of jobs that fail wherever they run.
#pragma once
#include "common/time.hpp"
#include "model/cluster_state.hpp"
#include "records/durable_write.hpp"
#include "settings/settings.hpp"
#include <optional>
#include <string>
#include <vector>

namespace spindlecroft::records {

// Keeps the record at the key-value store like the failure ledger.
class suspect_record {
  public:
    // Both must outlive this.
    suspect_record(const settings::settings &settings, model::cluster_state &state)
        : settings_(settings), state_(state) {}

    // The record of an earlier leader.
    void load(const std::vector<std::string> &jobs, time_point now);
    // Appends a write if the suspects changed.
    void take_writes(std::vector<durable_write> &out, time_point now);
    void on_written(const durable_write &write, bool ok);

  private:
    // As many suspects as the record can hold.
    [[nodiscard]] std::vector<std::string> suspects_that_fit() const;

    const settings::settings &settings_;
    model::cluster_state &state_;
    std::vector<std::string> stored_suspects_; // as the record at the key-value store has them
    bool write_pending_ = false;               // a write is under way
    std::optional<time_point> last_write_;
};

} // namespace spindlecroft::records
