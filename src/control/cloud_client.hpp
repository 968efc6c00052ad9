// The leader's calls to the cloud's API, paced below its rate limit and sent only while the
// leadership may act.
#pragma once
#include "control/leadership.hpp"
#include "net/http.hpp"
#include "settings/settings.hpp"
#include "store/key_value_client.hpp"
#include <memory>
#include <string>

namespace spindlecroft::control {

/// Client of the cloud's API.
class cloud_client {
  public:
    cloud_client(net::asio::io_context &io, const settings::settings &settings);
    /// Makes a call once the request budget allows it. A call is reported as not sent if the
    /// leadership may no longer act when its turn comes.
    net::awaitable<net::reply> call(std::shared_ptr<leadership> term, std::string method,
                                    std::string target, std::string body);

  private:
    net::client client_;
    store::token_bucket budget_;
};

} // namespace spindlecroft::control
