// Where a process listens.
#pragma once

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace pipitpond::core {

/// An IP address and a TCP port. Names are not resolved: the platform gives numbers.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;

  MSGPACK_DEFINE(address, port);
};

/// "address:port".
std::string to_string(const Endpoint& endpoint);
/// Reads "address:port"; empty when it is not an IP number with a port from 1 to 65535.
std::optional<Endpoint> parse_endpoint(std::string_view text);

void to_json(nlohmann::json& json, const Endpoint& endpoint);
/// Throws nlohmann::json::other_error when the text is no endpoint.
void from_json(const nlohmann::json& json, Endpoint& endpoint);

}  // namespace pipitpond::core
