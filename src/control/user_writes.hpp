// Writes that a user waits for, with a time limit after which the user is asked to retry.
#pragma once
#include "net/http.hpp"
#include "store/committer.hpp"
#include <optional>

namespace spindlecroft::control {

/// Writes the changes that users wait for.
class user_writes {
  public:
    user_writes(net::asio::io_context &io, store::key_value_client &store,
                const settings::settings &settings)
        : io_(io), committer_(io, store, settings, "users") {}
    net::awaitable<void> run() { return committer_.run(); }
    void stop() { committer_.stop(); }
    /// Returns whether so many writes are queued that no more are accepted.
    [[nodiscard]] bool full() const { return committer_.is_full(); }
    /// Writes a change. Nothing: no outcome within the time limit. The change is not sent after
    /// that, but a copy that was sent before may still be executed; its `on_durable` is called if
    /// it was.
    net::awaitable<std::optional<store::write_outcome>> commit(store::write_unit change,
                                                               seconds time_limit);

  private:
    net::asio::io_context &io_;
    store::committer committer_;
};

} // namespace spindlecroft::control
