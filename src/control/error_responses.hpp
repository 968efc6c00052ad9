// Error responses shared by the services of the API.
#pragma once
#include "constants.hpp"
#include "net/http.hpp"
#include "wire/codec.hpp"
#include <string>

namespace spindlecroft::control {

/// Returns an error response. retry_after_s: seconds after which the user should retry; 0: not
/// said.
inline net::response error_response(int status, const std::string &message, int retry_after_s = 0) {
    return {status, wire::encode_error(message), retry_after_s, false};
}

/// Returns a 503 for a request that can't be decided now; the user should retry.
inline net::response unavailable_response(const std::string &message) {
    return error_response(503, message, constants::retry_after_s);
}

} // namespace spindlecroft::control
