// The leader key at the key-value store: it names the leader, is bound to the leader's lease and so
// vanishes with it. Its version is the fencing token on which every write of the leader depends.
#pragma once
#include "store/key_value_client.hpp"
#include <cstdint>
#include <optional>
#include <string>

namespace spindlecroft::membership {

// The leader key as read.
struct leader_key_state {
    bool found = false;
    std::string node;          // named by the key; empty: no key, or one that can't be understood
    std::uint64_t version = 0; // the fencing token
    std::uint64_t lease = 0;   // the key is bound to it
};

// What a watch of the leader key brought.
struct leader_key_watch_result {
    bool changed = false;
    std::uint64_t watched_through_revision = 0; // the store was watched up to this revision
};

// Reads and changes the leader key. Every change is a compare-and-swap on its version.
class leader_key {
  public:
    // node and incarnation: of this controller, as the key will name them.
    leader_key(store::key_value_client &store, std::string node, std::string incarnation);

    // Nothing: the key-value store did not answer.
    net::awaitable<std::optional<leader_key_state>> read();
    // Returns at the first change after revision `since`, or without one after some seconds.
    // Nothing: the key-value store did not answer as expected.
    net::awaitable<std::optional<leader_key_watch_result>> watch(std::uint64_t since);
    // Creates the key, bound to the lease, if there is none. Returns its version; nothing: the key
    // is not known to be ours. permitted: asked right before the transaction is sent.
    net::awaitable<std::optional<std::uint64_t>> acquire(std::uint64_t lease,
                                                         net::permission permitted);
    // Writes the key anew, so that the token rises. raise: counts the raises of this leadership.
    // Returns the version of our key as far as known, which may be the old one.
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
