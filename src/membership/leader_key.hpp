// The leader key in the key-value store. It names the leader and is bound to the leader's lease, so
// that it is deleted when the lease ends. Its version is the fencing token: every write of the
// leader is conditional on it.
#pragma once
#include "store/key_value_client.hpp"
#include <cstdint>
#include <optional>
#include <string>

namespace spindlecroft::membership {

/// State of the leader key at a read.
struct leader_key_state {
    bool found = false;
    std::string node;          // node that the key names; empty: no key, or an unreadable one
    std::uint64_t version = 0; // the fencing token
    std::uint64_t lease = 0;   // lease that the key is bound to
};

/// Result of a watch of the leader key.
struct leader_key_watch_result {
    bool changed = false;
    std::uint64_t watched_through_revision = 0; // store revision up to which the watch is complete
};

/// Reads and changes the leader key. Every change is a compare-and-swap on the key's version.
class leader_key {
  public:
    /// node, incarnation: of this controller, written into the key.
    leader_key(store::key_value_client &store, std::string node, std::string incarnation);

    /// Reads the key. Nothing: the key-value store did not answer.
    net::awaitable<std::optional<leader_key_state>> read();
    /// Waits for a change after revision `since`, for at most some seconds. Nothing: the key-value
    /// store did not answer as expected.
    net::awaitable<std::optional<leader_key_watch_result>> watch(std::uint64_t since);
    /// Creates the key, bound to the lease, if it does not exist. Returns its version; nothing: the
    /// key is not known to belong to this controller. permitted: called right before the
    /// transaction is sent.
    net::awaitable<std::optional<std::uint64_t>> acquire(std::uint64_t lease,
                                                         net::permission permitted);
    /// Rewrites the key, which raises the token. raise: number of the raise within this leadership.
    /// Returns the version of this controller's key as far as known, which may be the old one.
    net::awaitable<std::optional<std::uint64_t>> raise_token(std::uint64_t token,
                                                             std::uint64_t lease,
                                                             std::uint64_t raise,
                                                             net::permission permitted);

  private:
    net::awaitable<store::transaction_result> write(std::uint64_t expected_version,
                                                    std::uint64_t lease, std::uint64_t raise,
                                                    net::permission permitted);
    net::awaitable<std::optional<std::uint64_t>> version_if_bound_to(std::uint64_t lease);

    store::key_value_client &store_;
    std::string node_;
    std::string incarnation_;
};

} // namespace spindlecroft::membership
