// The leader's cloud operations: polls the machine list and the machine types with their prices,
// and carries out the rentals and deletions that the scheduler decides on.
#pragma once
#include "control/cloud_client.hpp"
#include "control/leadership.hpp"
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace spindlecroft::control {

/// Performs the scheduler's operations on the cloud.
class cloud_operations {
  public:
    explicit cloud_operations(cloud_client &cloud) : cloud_(cloud) {}
    /// Polls the machine list and the machine types until the leadership ends.
    net::awaitable<void> run_polling(std::shared_ptr<leadership> term);
    /// These make one call and pass its outcome to the scheduler.
    net::awaitable<void> rent_machines(std::shared_ptr<leadership> term, rental_request request);
    net::awaitable<void> delete_machines(std::shared_ptr<leadership> term,
                                         std::vector<std::string> names);

  private:
    /// Reads every page of the machine list. Nothing: a page could not be read.
    net::awaitable<std::optional<std::vector<listed_machine>>>
    list_machines(std::shared_ptr<leadership> term);
    net::awaitable<void> refresh_types(std::shared_ptr<leadership> term);

    cloud_client &cloud_;
};

} // namespace spindlecroft::control
