// The leader's long-lived duties towards the cloud: it follows the list of machines and the prices,
// and carries out what the scheduler decides to rent and to delete.
#pragma once
#include "control/cloud_client.hpp"
#include "control/leadership.hpp"
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace spindlecroft::control {

class cloud_operations {
  public:
    explicit cloud_operations(cloud_client &cloud) : cloud_(cloud) {}
    // Runs until the leadership ends.
    net::awaitable<void> run_polling(std::shared_ptr<leadership> by);
    // Each tells the scheduler the outcome.
    net::awaitable<void> rent_machines(std::shared_ptr<leadership> by, rental_request wanted);
    net::awaitable<void> delete_machines(std::shared_ptr<leadership> by,
                                         std::vector<std::string> names);

  private:
    // Every page of the list; nothing if one could not be read.
    net::awaitable<std::optional<std::vector<listed_machine>>>
    list_machines(std::shared_ptr<leadership> by);
    net::awaitable<void> refresh_types(std::shared_ptr<leadership> by);

    cloud_client &cloud_;
};

} // namespace spindlecroft::control
