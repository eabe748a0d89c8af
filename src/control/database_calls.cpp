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

/// One exchange on a connection of its own.
awaitable<core::Result<http::Response>> exchange(boost::asio::io_context& io, core::Endpoint endpoint,
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

/// The answer in a response with status 200; empty otherwise.
template <typename Answer>
std::optional<Answer> answer_of(const core::Result<http::Response>& response) {
  if (!response || response.value().status != 200) {
    return std::nullopt;
  }
  auto parsed = database::parse<Answer>(response.value().body);
  if (!parsed) {
    return std::nullopt;
  }
  return std::move(parsed.value());
}

/// The newer term that a refusal names; empty when the response is no refusal for that reason.
std::optional<core::Term> newer_term_of(const core::Result<http::Response>& response, core::Term asked) {
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
                                     DatabaseCallCallbacks answers)
    : io_(io), timeouts_(timeouts), answers_(std::move(answers)) {}

void HttpDatabaseCalls::probe(failover::ProbeDatabase call) {
  boost::asio::co_spawn(io_, run_probe(std::move(call)), boost::asio::detached);
}

void HttpDatabaseCalls::fence(failover::FenceDatabase call) {
  boost::asio::co_spawn(io_, run_fence(std::move(call)), boost::asio::detached);
}

void HttpDatabaseCalls::promote(failover::PromoteDatabase call) {
  boost::asio::co_spawn(io_, run_promote(std::move(call)), boost::asio::detached);
}

awaitable<void> HttpDatabaseCalls::run_probe(failover::ProbeDatabase call) {
  http::Request request;
  request.path = "/v1/status";
  const auto response =
      co_await exchange(io_, call.endpoint, std::move(request), timeouts_.connect, timeouts_.status);
  const auto status = answer_of<database::StatusAnswer>(response);
  // Another database at this endpoint must not pass for the one that was meant.
  if (status && status->database == call.database) {
    answers_.status(*status);
  } else {
    answers_.status_failed(call.database);
  }
}

awaitable<void> HttpDatabaseCalls::run_fence(failover::FenceDatabase call) {
  const database::FenceRequest body{call.term};
  const auto response = co_await exchange(io_, call.endpoint, post("/v1/fence", database::serialize(body)),
                                          timeouts_.connect, timeouts_.fence);
  const auto answer = answer_of<database::FenceAnswer>(response);
  const auto newer = newer_term_of(response, call.term);
  if (answer && answer->database == call.database) {
    answers_.fenced(call, *answer);
  } else if (newer) {
    answers_.refused(call.group, call.database, call.term, *newer);
  } else {
    answers_.fence_failed(call);
  }
}

awaitable<void> HttpDatabaseCalls::run_promote(failover::PromoteDatabase call) {
  const database::PromoteRequest body{call.term, call.members};
  const auto response = co_await exchange(io_, call.endpoint, post("/v1/promote", database::serialize(body)),
                                          timeouts_.connect, timeouts_.promote);
  const auto answer = answer_of<database::PromoteAnswer>(response);
  const auto newer = newer_term_of(response, call.term);
  if (answer && answer->database == call.database && answer->term == call.term) {
    answers_.promoted(call, *answer);
  } else if (newer) {
    answers_.refused(call.group, call.database, call.term, *newer);
  } else {
    answers_.promote_failed(call);
  }
}

}  // namespace pipitpond::control
