#include "control/database_calls.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <optional>
#include <utility>

#include "core/error.hpp"
#include "database/protocol.hpp"
#include "http/client.hpp"

namespace pipitpond::control {
namespace {

using boost::asio::awaitable;

/// Sends one request over a new connection.
awaitable<core::Result<http::Response>> send_request(boost::asio::io_context& io, core::Endpoint endpoint,
                                                     http::Request request, core::Duration connect_timeout,
                                                     core::Duration timeout) {
  auto client = co_await http::Client::connect(io, endpoint, connect_timeout);
  if (!client) {
    co_return client.error();
  }
  auto response = co_await client.value()->send(std::move(request), timeout);
  co_return response;
}

http::Request post(std::string path, std::string body) {
  http::Request request;
  request.method = "POST";
  request.path = std::move(path);
  request.body = std::move(body);
  return request;
}

/// Parses the body of a response with status 200. Returns nothing for any other response.
template <typename Answer>
std::optional<Answer> parse_answer(const core::Result<http::Response>& response) {
  if (!response || response.value().status != 200) {
    return std::nullopt;
  }
  auto parsed = database::parse<Answer>(response.value().body);
  if (!parsed) {
    return std::nullopt;
  }
  return std::move(parsed.value());
}

/// Returns the term in a refusal if it is newer than `asked`, and nothing for any other response.
std::optional<core::Term> parse_newer_term(const core::Result<http::Response>& response, core::Term asked) {
  if (!response || response.value().status == 200) {
    return std::nullopt;
  }
  const auto parsed = database::parse<database::DatabaseError>(response.value().body);
  if (!parsed || parsed.value().term <= asked) {
    return std::nullopt;
  }
  return parsed.value().term;
}

}  // namespace

HttpDatabaseCalls::HttpDatabaseCalls(boost::asio::io_context& io, DatabaseCallTimeouts timeouts,
                                     DatabaseCallCallbacks callbacks)
    : io_(io), timeouts_(timeouts), callbacks_(std::move(callbacks)) {}

void HttpDatabaseCalls::probe(failover::ProbeDatabase call) {
  boost::asio::co_spawn(io_, run_probe(std::move(call)), boost::asio::detached);
}

void HttpDatabaseCalls::fence(failover::FenceDatabase call) {
  boost::asio::co_spawn(io_, run_fence(std::move(call)), boost::asio::detached);
}

void HttpDatabaseCalls::promote(failover::PromoteDatabase call) {
  boost::asio::co_spawn(io_, run_promote(std::move(call)), boost::asio::detached);
}

void HttpDatabaseCalls::demote(failover::DemoteDatabase call) {
  boost::asio::co_spawn(io_, run_demote(std::move(call)), boost::asio::detached);
}

awaitable<std::optional<database::StatusAnswer>> HttpDatabaseCalls::ask_status(core::Endpoint endpoint) {
  http::Request request;
  request.path = "/v1/status";
  const auto response =
      co_await send_request(io_, endpoint, std::move(request), timeouts_.connect, timeouts_.status);
  co_return parse_answer<database::StatusAnswer>(response);
}

awaitable<configuration::EndpointAnswer> HttpDatabaseCalls::identify(failover::ProbeDatabase call) {
  const auto status = co_await ask_status(call.endpoint);
  if (!status) {
    co_return configuration::EndpointAnswer::kNoAnswer;
  }
  const bool is_named = status->database == call.database && status->group == call.group;
  co_return is_named ? configuration::EndpointAnswer::kThisDatabase
                     : configuration::EndpointAnswer::kAnotherDatabase;
}

awaitable<void> HttpDatabaseCalls::run_probe(failover::ProbeDatabase call) {
  const auto status = co_await ask_status(call.endpoint);
  // Another database may listen at this endpoint; its status must not be taken for the requested one's.
  if (status && status->database == call.database) {
    callbacks_.status(*status);
  } else {
    callbacks_.status_failed(call.database);
  }
}

awaitable<void> HttpDatabaseCalls::run_fence(failover::FenceDatabase call) {
  const database::FenceRequest body{call.term};
  const auto response = co_await send_request(
      io_, call.endpoint, post("/v1/fence", database::serialize(body)), timeouts_.connect, timeouts_.fence);
  const auto answer = parse_answer<database::FenceAnswer>(response);
  const auto newer_term = parse_newer_term(response, call.term);
  if (answer && answer->database == call.database) {
    callbacks_.fenced(call, *answer);
  } else if (newer_term) {
    callbacks_.refused(call.group, call.database, call.term, *newer_term);
  } else {
    callbacks_.fence_failed(call);
  }
}

awaitable<void> HttpDatabaseCalls::run_promote(failover::PromoteDatabase call) {
  const database::PromoteRequest body{call.term, call.members};
  const auto response =
      co_await send_request(io_, call.endpoint, post("/v1/promote", database::serialize(body)),
                            timeouts_.connect, timeouts_.promote);
  const auto answer = parse_answer<database::PromoteAnswer>(response);
  const auto newer_term = parse_newer_term(response, call.term);
  if (answer && answer->database == call.database && answer->term == call.term) {
    callbacks_.promoted(call, *answer);
  } else if (newer_term) {
    callbacks_.refused(call.group, call.database, call.term, *newer_term);
  } else {
    callbacks_.promote_failed(call);
  }
}

/// What promises a term leads no earlier one, and receives from the primary of that term.
awaitable<void> HttpDatabaseCalls::run_demote(failover::DemoteDatabase call) {
  const database::FenceRequest body{call.term};
  (void)co_await send_request(io_, call.endpoint, post("/v1/fence", database::serialize(body)),
                              timeouts_.connect, timeouts_.fence);
}

}  // namespace pipitpond::control
