// The record of suspect jobs, whose tasks fail on every machine.
#pragma once
#include "common/time.hpp"
#include "model/cluster_state.hpp"
#include "records/durable_write.hpp"
#include "settings/settings.hpp"
#include <optional>
#include <string>
#include <vector>

namespace spindlecroft::records {

// Keeps the record in the key-value store in sync with the failure ledger.
class suspect_record {
  public:
    // Both must outlive this.
    suspect_record(const settings::settings &settings, model::cluster_state &state)
        : settings_(settings), state_(state) {}

    // Loads the record of an earlier leader.
    void load(const std::vector<std::string> &jobs, time_point now);
    // Appends a write if the suspects changed, at most one per suspects_write_interval.
    void take_writes(std::vector<durable_write> &out, time_point now);
    void on_written(const durable_write &write, bool ok);

  private:
    // Returns as many suspects as the record can hold.
    [[nodiscard]] std::vector<std::string> suspects_that_fit() const;

    const settings::settings &settings_;
    model::cluster_state &state_;
    std::vector<std::string> stored_suspects_; // as recorded in the key-value store
    bool write_pending_ = false;               // a write is in flight
    std::optional<time_point> last_write_;
};

} // namespace spindlecroft::records
