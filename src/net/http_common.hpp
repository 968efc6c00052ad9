// Helpers of the HTTP server and client; for src/net only.
#pragma once
#include "net/async.hpp"
#include "settings/settings.hpp"
#include <boost/asio/ip/tcp.hpp>

namespace spindlecroft::net {

inline constexpr unsigned http_version = 11; // HTTP/1.1, as Beast writes it

[[nodiscard]] inline asio::ip::tcp::endpoint endpoint_of(const settings::address &address) {
    return {asio::ip::make_address_v4(address.host), address.port};
}

[[nodiscard]] inline const char *content_type(bool is_cbor) {
    return is_cbor ? "application/cbor" : "application/json";
}

} // namespace spindlecroft::net
