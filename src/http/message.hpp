// HTTP requests and responses as plain values, so that only http/*.cpp sees RESTinio and Beast.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace pipitpond::http {

/// Identifies one accepted TCP connection of a server for its lifetime.
using ConnectionId = std::uint64_t;

/// One header line.
struct Header {
  std::string name;
  std::string value;
};

/// A request, received or to be sent.
struct Request {
  std::string method = "GET";
  std::string path;   ///< Without the query.
  std::string query;  ///< After '?', undecoded.
  std::vector<Header> headers;
  std::string body;
  ConnectionId connection = 0;  ///< Received requests only.
  std::string remote_address;   ///< Received requests only.
};

/// A response, received or to be sent.
struct Response {
  unsigned status = 200;
  std::string content_type = "application/json";
  std::vector<Header> headers;
  std::string body;
  bool close_connection = false;  ///< Close after this response.
};

/// Value of the named header (any case), or "".
const std::string& header_value(const std::vector<Header>& headers, const std::string& name);

}  // namespace pipitpond::http
