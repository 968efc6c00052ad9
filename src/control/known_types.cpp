#include "control/known_types.hpp"
#include "constants.hpp"
#include "control/scheduler.hpp"
#include "store/keys.hpp"

namespace spindlecroft::control {

void known_types::learn(std::vector<machine_type> types) {
    if (!types_)
        types_ = std::move(types);
}

net::awaitable<void> known_types::load() {
    while (!stopping_ && !types_) {
        auto stored =
            co_await store_.get(store::keys::machine_types, store::request_priority::user_request);
        if (stored && stored->found) {
            try {
                learn(wire::parse_machine_types(stored->item.value));
            } catch (const wire::malformed_message &error) {
                spdlog::error("machine types: {}", error.what());
            }
        }
        if (!types_)
            co_await net::sleep_for(constants::types_retry);
    }
}

} // namespace spindlecroft::control
