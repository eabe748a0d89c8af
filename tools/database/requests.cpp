#include "requests.hpp"

#include <charconv>
#include <functional>
#include <string>
#include <unordered_map>

#include "database/protocol.hpp"
#include "standin/engine.hpp"

namespace pipitpond::database_program {
namespace {

using core::Result;
using standin::Request;

using Parser = std::function<Result<Request>(const http::Request&)>;

template <typename Message>
Result<Request> parse_body(const http::Request& request) {
  auto message = database::parse<Message>(request.body);
  if (!message) {
    return message.as_failure();
  }
  return Request(std::move(message).value());
}

Result<Request> parse_log(const http::Request& request) {
  standin::LogRequest log;
  constexpr std::string_view kFrom = "from=";
  const std::string_view query = request.query;
  if (query.substr(0, kFrom.size()) == kFrom) {
    const auto digits = query.substr(kFrom.size());
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), log.from);
    if (parsed.ec != std::errc()) {
      return core::fail(core::ErrorKind::kInvalidArgument, "from is not a number.", "Send ?from=INDEX.");
    }
  }
  return Request(log);
}

const std::unordered_map<std::string, Parser>& parsers() {
  static const std::unordered_map<std::string, Parser> kParsers = {
      {"GET /v1/status", [](const http::Request&) { return Result<Request>(standin::StatusRequest{}); }},
      {"GET /v1/log", parse_log},
      {"POST /v1/connect", parse_body<database::ConnectRequest>},
      {"POST /v1/execute", parse_body<database::ExecuteRequest>},
      {"POST /v1/begin", parse_body<database::BeginRequest>},
      {"POST /v1/commit", parse_body<database::CommitRequest>},
      {"POST /v1/rollback", parse_body<database::RollbackRequest>},
      {"POST /v1/key", parse_body<database::KeyRequest>},
      {"POST /v1/fence", parse_body<database::FenceRequest>},
      {"POST /v1/promote", parse_body<database::PromoteRequest>},
      {"POST /v1/replicate", parse_body<database::ReplicateRequest>},
      {"POST /v1/drain", parse_body<database::DrainRequest>},
  };
  return kParsers;
}

}  // namespace

core::Result<standin::Request> to_engine_request(const http::Request& request) {
  const auto parser = parsers().find(request.method + " " + request.path);
  if (parser == parsers().end()) {
    return core::fail(core::ErrorKind::kNotFound, "There is no " + request.method + " " + request.path + ".",
                      "See src/database/protocol.hpp for the calls.");
  }
  return parser->second(request);
}

http::Response to_response(const core::Error& error) {
  database::DatabaseError answer;
  answer.kind = core::to_string(error.kind);
  answer.message = core::describe(error);
  answer.outcome = core::Outcome::kNotRun;
  http::Response response;
  response.status = standin::http_status(answer);
  response.body = database::serialize(answer);
  return response;
}

}  // namespace pipitpond::database_program
