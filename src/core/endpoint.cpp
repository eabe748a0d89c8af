#include "core/endpoint.hpp"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace pipitpond::core {

std::string to_string(const Endpoint& endpoint) {
  return endpoint.address + ":" + std::to_string(endpoint.port);
}

std::optional<Endpoint> parse_endpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto parsed = std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  if (parsed.ec != std::errc{} || parsed.ptr != port_text.data() + port_text.size() || port == 0) {
    return std::nullopt;
  }
  Endpoint endpoint{std::string(text.substr(0, colon)), port};
  boost::system::error_code error;
  boost::asio::ip::make_address(endpoint.address, error);
  if (error) {
    return std::nullopt;
  }
  return endpoint;
}

void to_json(nlohmann::json& json, const Endpoint& endpoint) {
  json = to_string(endpoint);
}

void from_json(const nlohmann::json& json, Endpoint& endpoint) {
  const auto text = json.get<std::string>();
  const auto parsed = parse_endpoint(text);
  if (!parsed) {
    throw nlohmann::json::other_error::create(501, "not an address:port: " + text, &json);
  }
  endpoint = *parsed;
}

}  // namespace pipitpond::core
