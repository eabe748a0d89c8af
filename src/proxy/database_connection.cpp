#include "proxy/database_connection.hpp"

#include <optional>
#include <string_view>
#include <utility>

#include "protocol/tunables.hpp"
#include "proxy/json_object.hpp"

namespace pipitpond::proxy {
namespace {

constexpr unsigned kHttpOk = 200;

http::Request make_request(const DatabaseCall& call) {
  http::Request request;
  request.method = "POST";
  request.path = call.path;
  request.body = call.body;
  return request;
}

core::Error database_error(const database::DatabaseError& refusal) {
  core::Error error;
  error.kind = core::error_kind_from(refusal.kind);
  error.message = refusal.message;
  error.remedy = "See the database's message.";
  error.retry_after_ms = refusal.retry_after_ms;
  return error;
}

core::Error unknown_key_error(bool settle) {
  if (settle) {
    return {core::ErrorKind::kKeyExpired, "The key is older than the database's memory of keys.",
            "Look for the effect in the data itself.", 0};
  }
  return {core::ErrorKind::kNotFound, "The key has not run so far, or is no longer remembered.",
          "Ask again with settle to make sure that it never runs.", 0};
}

bool read(const JsonObject& object, std::string_view name, std::string& value) {
  const JsonMember* member = object.find(name);
  if (member == nullptr || member->type != JsonType::kText) {
    return false;
  }
  value = member->text;
  return true;
}

bool read(const JsonObject& object, std::string_view name, bool& value) {
  const JsonMember* member = object.find(name);
  if (member == nullptr || member->type != JsonType::kBoolean) {
    return false;
  }
  value = member->boolean;
  return true;
}

bool read(const JsonObject& object, std::string_view name, std::uint64_t& value) {
  const JsonMember* member = object.find(name);
  if (member == nullptr || member->type != JsonType::kUnsigned) {
    return false;
  }
  value = member->number;
  return true;
}

bool read(const JsonObject& object, std::string_view name, core::LogPosition& value) {
  const JsonMember* member = object.find(name);
  if (member == nullptr || member->type != JsonType::kObject) {
    return false;
  }
  const std::optional<JsonObject> position = JsonObject::parse(member->json);
  return position && read(*position, "term", value.term) && read(*position, "index", value.index);
}

/// Reads an answer of execute, begin, commit or rollback. Its result stays text: the proxy does not look into
/// it.
std::optional<CallResult> read_execute_answer(std::string_view body) {
  const std::optional<JsonObject> object = JsonObject::parse(body);
  if (!object) {
    return std::nullopt;
  }
  CallResult read_result;
  database::ExecuteAnswer& answer = read_result.answer;
  std::string request;
  std::string database;
  const JsonMember* result = object->find("result");
  const bool complete =
      result != nullptr && read(*object, "request", request) && read(*object, "database", database) &&
      read(*object, "position", answer.position) && read(*object, "applied", answer.applied) &&
      read(*object, "replayed", answer.replayed) && read(*object, "in_transaction", answer.in_transaction);
  if (!complete) {
    return std::nullopt;
  }
  answer.request = core::RequestId(std::move(request));
  answer.database = core::DatabaseId(std::move(database));
  read_result.outcome = core::Outcome::kDone;
  read_result.applied = answer.applied;
  read_result.result = to_json_text(*result);
  return read_result;
}

}  // namespace

boost::asio::awaitable<core::Result<std::unique_ptr<DatabaseConnection>>> DatabaseConnection::open(
    boost::asio::io_context& io, core::Endpoint endpoint, std::string client_name, core::Duration timeout) {
  const core::Instant deadline = core::BootClock::now() + timeout;
  auto client = co_await http::Client::connect(io, endpoint, timeout);
  if (!client) {
    co_return core::fail(core::ErrorKind::kConnectionRefused, client.error().message,
                         "Check that the database runs and listens.", client.error().retry_after_ms);
  }
  database::ConnectRequest connect{std::move(client_name)};
  const DatabaseCall call{"/v1/connect", {}, database::serialize(connect)};
  const core::Duration left = deadline - core::BootClock::now();
  http::Request request = make_request(call);
  auto response = co_await client.value()->send(std::move(request), left);
  if (!response && response.error().kind == core::ErrorKind::kConnectionRefused) {
    co_return core::outcome::failure(response.error());
  }
  if (!response) {
    auto unanswered = std::make_unique<DatabaseConnection>(std::move(client).value());
    unanswered->close();
    co_return unanswered;
  }
  if (response.value().status != kHttpOk) {
    const auto refusal = database::parse<database::DatabaseError>(response.value().body);
    co_return core::fail(core::ErrorKind::kNoCapacity,
                         refusal ? refusal.value().message : "Database refused the connection.",
                         "Raise the database's connection limit or wait until others have closed.");
  }
  co_return std::make_unique<DatabaseConnection>(std::move(client).value());
}

boost::asio::awaitable<core::Result<http::Response>> DatabaseConnection::send(DatabaseCall call,
                                                                              core::Duration timeout) {
  // In doubt until the whole answer was read: if this coroutine is destroyed meanwhile, the connection must
  // not be used again, because a late answer could reach a later request.
  in_doubt_ = true;
  http::Request request = make_request(call);
  auto response = co_await client_->send(std::move(request), timeout);
  last_used_ = core::BootClock::now();
  co_return response;
}

boost::asio::awaitable<CallResult> DatabaseConnection::call(DatabaseCall call, core::Duration timeout) {
  const core::RequestId attempt = call.attempt;
  auto response = co_await send(std::move(call), timeout);
  if (!response) {
    CallResult failed;
    failed.error = response.error();
    const bool nothing_sent = failed.error.kind == core::ErrorKind::kConnectionRefused;
    failed.outcome = nothing_sent ? core::Outcome::kNotRun : core::Outcome::kUnknown;
    close();
    co_return failed;
  }
  if (response.value().status != kHttpOk) {
    co_return read_error(attempt, response.value());
  }
  co_return read_answer(attempt, response.value());
}

boost::asio::awaitable<CallResult> DatabaseConnection::resolve_key(database::KeyRequest request,
                                                                   core::Duration timeout) {
  const core::RequestId attempt = request.request;
  const bool settle = request.settle;
  DatabaseCall call{"/v1/key", attempt, database::serialize(request)};
  auto response = co_await send(std::move(call), timeout);
  if (!response) {
    CallResult failed;
    failed.error = response.error();
    close();
    co_return failed;
  }
  if (response.value().status != kHttpOk) {
    CallResult refused = read_error(attempt, response.value());
    // The refusal is about the question; it says nothing about what became of the key.
    refused.outcome = core::Outcome::kUnknown;
    co_return refused;
  }
  auto answer = database::parse<database::KeyAnswer>(response.value().body);
  if (!answer || answer.value().request != attempt) {
    co_return doubt("Answer about the key is not the one to this question.");
  }
  in_doubt_ = false;
  CallResult known;
  known.outcome = answer.value().outcome;
  known.answer.position = answer.value().position;
  known.answer.replayed = true;
  known.result = answer.value().result.dump();
  if (known.outcome == core::Outcome::kNotRun) {
    known.error = {core::ErrorKind::kKeySettled, "The key is recorded as never to run.",
                   "Send the request again under a new key.", 0};
  } else if (known.outcome == core::Outcome::kUnknown) {
    known.error = unknown_key_error(settle);
  }
  co_return known;
}

boost::asio::awaitable<bool> DatabaseConnection::keep_alive(core::Duration timeout) {
  in_doubt_ = true;
  http::Request request;
  request.path = "/v1/status";
  auto response = co_await client_->send(std::move(request), timeout);
  last_used_ = core::BootClock::now();
  if (!response || response.value().status != kHttpOk ||
      !database::parse<database::StatusAnswer>(response.value().body)) {
    close();
    co_return false;
  }
  in_doubt_ = false;
  co_return true;
}

bool DatabaseConnection::usable() const {
  const bool fresh = core::BootClock::now() - last_used_ < protocol::kLongestTrustedIdle;
  return !in_doubt_ && fresh && client_->is_open();
}

void DatabaseConnection::close() {
  in_doubt_ = true;
  client_->close();
}

boost::asio::awaitable<void> DatabaseConnection::closed_by_database() {
  in_doubt_ = true;
  return client_->closed_by_peer();
}

CallResult DatabaseConnection::doubt(std::string message) {
  close();
  CallResult result;
  result.error = {core::ErrorKind::kConnectionLost, std::move(message),
                  "Ask for the key's outcome, or send the request again if it may run twice.", 0};
  return result;
}

CallResult DatabaseConnection::read_answer(const core::RequestId& attempt, const http::Response& response) {
  std::optional<CallResult> result = read_execute_answer(response.body);
  if (!result) {
    return doubt("Answer of the database can't be read.");
  }
  if (result->answer.request != attempt) {
    return doubt("Database answered another request on this connection.");
  }
  in_doubt_ = false;
  return std::move(*result);
}

CallResult DatabaseConnection::read_error(const core::RequestId& attempt, const http::Response& response) {
  auto parsed = database::parse<database::DatabaseError>(response.body);
  if (!parsed || parsed.value().request != attempt) {
    return doubt("Database refused with status " + std::to_string(response.status) +
                 " without naming the request.");
  }
  in_doubt_ = false;
  CallResult result;
  result.outcome = parsed.value().outcome;
  if (result.outcome == core::Outcome::kDone) {
    result.outcome = core::Outcome::kUnknown;  // An error that claims success is not believed.
  }
  result.error = database_error(parsed.value());
  result.applied = parsed.value().applied;
  result.newer_term = parsed.value().term;
  return result;
}

}  // namespace pipitpond::proxy
