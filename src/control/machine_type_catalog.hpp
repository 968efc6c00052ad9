// The machine types as this controller knows them, for deciding whether a submission can ever run.
#pragma once
#include "net/async.hpp"
#include "store/key_value_client.hpp"
#include <optional>
#include <vector>

namespace spindlecroft::control {

class machine_type_catalog {
  public:
    explicit machine_type_catalog(store::key_value_client &store) : store_(store) {}
    // Reads the stored types, again and again until they are known.
    net::awaitable<void> load();
    void stop() { stopping_ = true; }
    // The first ones that are learned are kept.
    void set_if_unknown(std::vector<machine_type> types);
    // Nothing: not known yet.
    const std::optional<std::vector<machine_type>> &get() const { return types_; }

  private:
    store::key_value_client &store_;
    std::optional<std::vector<machine_type>> types_;
    bool stopping_ = false;
};

} // namespace spindlecroft::control
