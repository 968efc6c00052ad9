#include "control/machine_type_catalog.hpp"
#include "constants.hpp"
#include "control/scheduler.hpp"
#include "store/keys.hpp"

namespace spindlecroft::control {

void machine_type_catalog::set_if_unknown(std::vector<machine_type> types) {
    if (!types_)
        types_ = std::move(types);
}

net::awaitable<void> machine_type_catalog::load() {
    while (!stopping_ && !types_) {
        auto stored =
            co_await store_.get(store::keys::machine_types, store::request_priority::user_request);
        if (stored && stored->found) {
            try {
                set_if_unknown(wire::parse_machine_types(stored->item.value));
            } catch (const wire::malformed_message &error) {
                spdlog::error("malformed stored machine types: {}", error.what());
            }
        }
        if (!types_)
            co_await net::sleep_for(constants::machine_types_retry_delay);
    }
}

} // namespace spindlecroft::control
