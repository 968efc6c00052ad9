#include "settings/settings.hpp"
#include "constants.hpp"
#include "settings/failure.hpp"
#include <boost/asio/ip/address_v4.hpp>
#include <charconv>
#include <fmt/format.h>
#include <fstream>
#include <limits>
#include <sstream>

namespace spindlecroft::settings {

namespace {

constexpr double bytes_per_kb = 1024;

} // namespace

operator_options::operator_options()
    : spare_replicas(constants::spare_replicas), drain_target(constants::drain_target),
      fleet_limit(constants::fleet_limit) {}

const team *settings::find_team(const std::string &name) const {
    for (const auto &team : teams)
        if (team.name == name)
            return &team;
    return nullptr;
}

std::size_t settings::value_bytes() const {
    return static_cast<std::size_t>(value_kb * bytes_per_kb) - constants::value_size_margin;
}

std::string read_file(const std::string &path) {
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw_settings_error(path, "cannot be read");
    std::ostringstream content;
    content << file.rdbuf();
    if (file.bad())
        throw_settings_error(path, "cannot be read");
    return content.str();
}

address parse_address(const std::string &text, const std::string &key) {
    auto colon = text.rfind(':');
    if (colon == std::string::npos)
        throw_settings_error(key, fmt::format("'{}' is not HOST:PORT", text));
    unsigned port = 0;
    const auto *end = text.data() + text.size();
    auto [parsed_end, error] = std::from_chars(text.data() + colon + 1, end, port);
    if (error != std::errc() || parsed_end != end || port == 0 ||
        port > std::numeric_limits<unsigned short>::max())
        throw_settings_error(key, fmt::format("'{}' has no valid port", text));
    address parsed;
    parsed.host = text.substr(0, colon);
    parsed.port = static_cast<unsigned short>(port);
    boost::system::error_code ec;
    boost::asio::ip::make_address_v4(parsed.host, ec);
    if (ec)
        throw_settings_error(key, fmt::format("'{}' is not an IPv4 address", text));
    return parsed;
}

} // namespace spindlecroft::settings
