// The leader's calls to the cloud: paced below the cloud's limit, and sent only while it may act.
#pragma once
#include "control/leadership.hpp"
#include "net/http.hpp"
#include "settings/settings.hpp"
#include "store/key_value_client.hpp"
#include <memory>
#include <string>

namespace spindlecroft::control {

class cloud_client {
  public:
    cloud_client(net::asio::io_context &io, const settings::settings &settings);
    // Waits for its turn. A call that the leadership may not make any more counts as not sent.
    net::awaitable<net::reply> call(std::shared_ptr<leadership> by, std::string method,
                                    std::string target, std::string body);

  private:
    net::client client_;
    store::token_bucket budget_;
};

} // namespace spindlecroft::control
