#include "http/admin.hpp"

#include <utility>

namespace pipitpond::http {
namespace {

using nlohmann::json;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr double kGreatestMs = 3'600'000;
constexpr double kMicrosPerMilli = 1000;

}  // namespace

core::Result<std::unique_ptr<Server>> start_admin_server(boost::asio::io_context& io,
                                                         const std::string& address, std::uint16_t port,
                                                         Answer answer) {
  ServerOptions options;
  options.address = address;
  options.port = port;
  return Server::start(io, options,
                       [answer = std::move(answer)](const Request& request, const Responder& respond) {
                         respond(answer(request));
                       });
}

Response error_response(const core::Error& error) {
  Response response;
  response.status = error.kind == core::ErrorKind::kNotFound ? kNotFound : kBadRequest;
  const json fields = {
      {"kind", core::to_string(error.kind)}, {"message", error.message}, {"remedy", error.remedy}};
  response.body = json{{"error", fields}}.dump(-1, ' ', false, json::error_handler_t::replace);
  return response;
}

std::optional<Response> answer_health(const Request& request) {
  if (request.method != "GET" || (request.path != "/healthz" && request.path != "/readyz")) {
    return std::nullopt;
  }
  Response response;
  response.body = R"({"ready":true})";
  return response;
}

Response gauge_response(const std::string& name, std::uint64_t value) {
  Response response;
  response.content_type = "text/plain; version=0.0.4";
  response.body = "# TYPE " + name + " gauge\n" + name + " " + std::to_string(value) + "\n";
  return response;
}

core::Duration duration_field(const json& body, const char* field, core::Duration absent) {
  if (!body.contains(field)) {
    return absent;
  }
  const auto milliseconds = body.at(field).get<double>();
  if (!(milliseconds >= 0 && milliseconds <= kGreatestMs)) {
    throw json::other_error::create(0, std::string(field) + " is out of range", nullptr);
  }
  return core::Duration(static_cast<std::int64_t>(milliseconds * kMicrosPerMilli));
}

}  // namespace pipitpond::http
