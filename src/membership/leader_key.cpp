#include "membership/leader_key.hpp"
#include "constants.hpp"
#include "store/keys.hpp"

namespace spindlecroft::membership {

namespace c = constants;
using net::awaitable;
using store::request_priority;
using store::transaction_outcome;

leader_key::leader_key(store::key_value_client &store, std::string node, std::string incarnation)
    : store_(store), node_(std::move(node)), incarnation_(std::move(incarnation)) {}

awaitable<std::optional<leader_key_state>> leader_key::read() {
    auto stored = co_await store_.get(store::keys::leader, request_priority::leadership);
    if (!stored)
        co_return std::nullopt;
    leader_key_state state;
    if (!stored->found)
        co_return state;
    state.found = true;
    state.version = stored->item.revision;
    state.lease = stored->item.lease;
    try {
        state.node = wire::parse_leader_record(stored->item.value).node;
    } catch (const wire::malformed_message &) {
        state.node.clear(); // there is a leader, but clients can't be redirected to it
    }
    co_return state;
}

awaitable<std::optional<leader_key_watch_result>> leader_key::watch(std::uint64_t since) {
    auto watched = co_await store_.watch(store::keys::leader, since, c::watch_hold_ms,
                                         request_priority::leadership);
    if (watched.outcome != store::watch_outcome::changes)
        co_return std::nullopt;
    co_return leader_key_watch_result{!watched.changes.items.empty(), watched.changes.revision};
}

awaitable<std::optional<std::uint64_t>> leader_key::acquire(std::uint64_t lease,
                                                            net::permission permitted) {
    auto result = co_await write(0, lease, 0, std::move(permitted));
    if (result.outcome == transaction_outcome::committed && result.revision != 0)
        co_return result.revision;
    // The transaction may have been executed or may still be; a read shows whether the key belongs
    // to this controller.
    if (result.outcome == transaction_outcome::unknown)
        co_return co_await version_if_bound_to(lease);
    co_return std::nullopt;
}

awaitable<std::optional<std::uint64_t>> leader_key::raise_token(std::uint64_t token,
                                                                std::uint64_t lease,
                                                                std::uint64_t raise,
                                                                net::permission permitted) {
    auto result = co_await write(token, lease, raise, std::move(permitted));
    // The condition on the version held, so no other transaction raised the token in between.
    if (result.outcome == transaction_outcome::committed)
        co_return result.revision;
    // An earlier raise whose outcome is unknown may have been executed.
    if (result.outcome == transaction_outcome::unknown ||
        result.outcome == transaction_outcome::conflict)
        co_return co_await version_if_bound_to(lease);
    co_return std::nullopt;
}

awaitable<store::transaction_result> leader_key::write(std::uint64_t expected_version,
                                                       std::uint64_t lease, std::uint64_t raise,
                                                       net::permission permitted) {
    auto value = wire::encode_leader_record({node_, incarnation_, raise});
    std::vector<txn_condition> conditions{{store::keys::leader, expected_version}};
    std::vector<txn_op> operations{{store::keys::leader, value, lease}};
    co_return co_await store_.commit(conditions, operations, request_priority::leadership,
                                     std::move(permitted));
}

awaitable<std::optional<std::uint64_t>> leader_key::version_if_bound_to(std::uint64_t lease) {
    auto state = co_await read();
    if (state && state->found && state->lease == lease && state->version != 0)
        co_return state->version;
    co_return std::nullopt;
}

} // namespace spindlecroft::membership
