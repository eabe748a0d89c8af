#include "http/closing_answer.hpp"

#include <fmt/format.h>

#include <boost/beast/http/status.hpp>
#include <string_view>

namespace pipitpond::http {
namespace {

constexpr unsigned kPayloadTooLarge = 413;

/// A 408 leaves open what became of earlier requests with the same key, so its outcome is "unknown".
std::string_view body_of(unsigned status) {
  switch (status) {
    case kRequestTimeout:
      return R"({"outcome":"unknown","error":{"kind":"leaving","message":"No request was read: this connection is ended.",)"
             R"("remedy":"Send the request again on a new connection."}})";
    case kPayloadTooLarge:
      return R"({"outcome":"not_run","error":{"kind":"too_large","message":"The body is over the limit.","remedy":"Send less."}})";
    default:
      return R"({"outcome":"not_run","error":{"kind":"invalid_argument","message":"The request is not valid HTTP.",)"
             R"("remedy":"Send an HTTP/1.1 request within the limits."}})";
  }
}

}  // namespace

std::string closing_answer(unsigned status) {
  const auto reason = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
  const std::string_view body = body_of(status);
  return fmt::format(
      "HTTP/1.1 {} {}\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
      status, std::string_view(reason.data(), reason.size()), body.size(), body);
}

}  // namespace pipitpond::http
