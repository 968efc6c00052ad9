#include "membership/leader_key.hpp"
#include "constants.hpp"

namespace spindlecroft::membership {

namespace c = constants;
using net::awaitable;
using store::request_priority;
using store::txn_outcome;

static constexpr const char *key_name = "leader";

leader_key::leader_key(store::key_value_client &store, std::string node, std::string incarnation)
    : store_(store), node_(std::move(node)), incarnation_(std::move(incarnation)) {}

awaitable<std::optional<leader_key_state>> leader_key::read() {
    auto item = co_await store_.get(key_name, request_priority::leadership);
    if (!item)
        co_return std::nullopt;
    leader_key_state state;
    if (!item->found)
        co_return state;
    state.found = true;
    state.version = item->kv.version;
    state.lease = item->kv.lease;
    try {
        state.node = wire::parse_leader(item->kv.value).node;
    } catch (const wire::malformed_message &) {
        state.node.clear(); // somebody leads, but nobody can be sent there
    }
    co_return state;
}

awaitable<std::optional<leader_key_change>> leader_key::watch(std::uint64_t since) {
    bool gone = false;
    auto news = co_await store_.watch(key_name, since, c::watch_hold_ms,
                                      request_priority::leadership, gone);
    if (!news)
        co_return std::nullopt;
    co_return leader_key_change{!news->items.empty(), news->revision};
}

awaitable<std::optional<std::uint64_t>> leader_key::acquire(std::uint64_t lease,
                                                            net::permission permitted) {
    auto result = co_await write(0, lease, 0, std::move(permitted));
    if (result.how == txn_outcome::committed && result.revision != 0)
        co_return result.revision;
    // It may have been executed, or may yet be; only our own key counts.
    if (result.how == txn_outcome::unknown)
        co_return co_await version_if_bound_to(lease);
    co_return std::nullopt;
}

awaitable<std::optional<std::uint64_t>> leader_key::raise_token(std::uint64_t token,
                                                                std::uint64_t lease,
                                                                std::uint64_t raise,
                                                                net::permission permitted) {
    auto result = co_await write(token, lease, raise, std::move(permitted));
    // Its condition held, so nothing else raised the token meanwhile.
    if (result.how == txn_outcome::committed)
        co_return result.revision;
    // An earlier raise without an answer may have been executed.
    if (result.how == txn_outcome::unknown || result.how == txn_outcome::conflict)
        co_return co_await version_if_bound_to(lease);
    co_return std::nullopt;
}

awaitable<store::txn_result> leader_key::write(std::uint64_t expected_version, std::uint64_t lease,
                                               std::uint64_t raise, net::permission permitted) {
    auto value = wire::encode_leader({node_, incarnation_, raise});
    std::vector<txn_condition> conditions{{key_name, expected_version}};
    std::vector<txn_op> operations{{key_name, value, lease}};
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
