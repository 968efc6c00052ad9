// The answers to users that several parts give.
#pragma once
#include "constants.hpp"
#include "net/http.hpp"
#include "wire/codec.hpp"
#include <string>

namespace spindlecroft::control {

inline net::response error_response(int status, const std::string &what, int retry = 0) {
    return {status, wire::encode_error(what), retry, false};
}

// 503: can't be decided now, to be asked again.
inline net::response unavailable_response(const std::string &what) {
    return error_response(503, what, constants::retry_after_s);
}

} // namespace spindlecroft::control
