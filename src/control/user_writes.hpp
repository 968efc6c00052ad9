// Changes that a user waits for, with the time after which the user is told to ask again.
#pragma once
#include "net/http.hpp"
#include "store/committer.hpp"
#include <optional>

namespace spindlecroft::control {

class user_writes {
  public:
    user_writes(net::asio::io_context &io, store::key_value_client &store,
                const settings::settings &settings)
        : io_(io), committer_(io, store, settings, "users") {}
    net::awaitable<void> run() { return committer_.run(); }
    void stop() { committer_.stop(); }
    // So many changes wait that no more are taken.
    [[nodiscard]] bool full() const { return committer_.is_full(); }
    // Nothing: no outcome within the time. The change is not sent any more from then on, but a copy
    // that was sent may yet be executed; its `on_durable` is called if it was.
    net::awaitable<std::optional<store::write_outcome>> commit(store::write_unit change,
                                                               seconds time_limit);

  private:
    net::asio::io_context &io_;
    store::committer committer_;
};

} // namespace spindlecroft::control
