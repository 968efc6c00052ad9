// The machine types known to this controller, for deciding whether a submitted job can ever run.
#pragma once
#include "net/async.hpp"
#include "store/key_value_client.hpp"
#include <optional>
#include <vector>

namespace spindlecroft::control {

/// Holds the machine types once they are known.
class machine_type_catalog {
  public:
    explicit machine_type_catalog(store::key_value_client &store) : store_(store) {}
    /// Reads the stored types, retrying until they are known.
    net::awaitable<void> load();
    void stop() { stopping_ = true; }
    /// Sets the types unless they are known already.
    void set_if_unknown(std::vector<machine_type> types);
    /// Returns the types; nothing: not known yet.
    const std::optional<std::vector<machine_type>> &get() const { return types_; }

  private:
    store::key_value_client &store_;
    std::optional<std::vector<machine_type>> types_;
    bool stopping_ = false;
};

} // namespace spindlecroft::control
