#include "proxy/caller_answers.hpp"

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "proxy/json_object.hpp"

namespace pipitpond::proxy {
namespace {

constexpr std::uint32_t kMillisPerSecond = 1000;
/// For refusals that name no time although a retry makes sense.
constexpr std::uint32_t kDefaultRetryAfterMs = 1000;
/// An answer without its session, transaction and result takes about this many bytes.
constexpr std::size_t kEnvelopeBytes = 320;

unsigned status_of_not_run(core::ErrorKind kind) {
  switch (kind) {
    case core::ErrorKind::kInvalidArgument:
    case core::ErrorKind::kForgedToken:
    case core::ErrorKind::kKeyExpired:
      return 400;
    case core::ErrorKind::kPolicyDenied:
      return 403;
    case core::ErrorKind::kNotFound:
      return 404;
    case core::ErrorKind::kPositionLost:
    case core::ErrorKind::kConflict:
    case core::ErrorKind::kAlreadyExists:
    case core::ErrorKind::kKeySettled:
      return 409;
    case core::ErrorKind::kTooLarge:
      return 413;
    case core::ErrorKind::kOverloaded:
    case core::ErrorKind::kNoCapacity:
      return 429;
    default:
      return 503;
  }
}

/// What the caller may do without a word more from the database.
std::string default_remedy(const CallerAnswer& answer) {
  if (answer.outcome == core::Outcome::kUnknown) {
    return "Ask POST /v1/outcomes for the key, or send the request again under the same key.";
  }
  return "Send the request again later.";
}

bool retry_makes_sense(unsigned status) {
  return status == 429 || status == 503;
}

nlohmann::json error_json(const CallerAnswer& answer, unsigned status) {
  const core::Error& error = answer.error;
  std::uint32_t retry_after_ms = error.retry_after_ms;
  if (retry_after_ms == 0 && retry_makes_sense(status)) {
    retry_after_ms = kDefaultRetryAfterMs;
  }
  return {{"kind", core::to_string(error.kind)},
          {"message", error.message},
          {"remedy", error.remedy.empty() ? default_remedy(answer) : error.remedy},
          {"retry_after_ms", retry_after_ms}};
}

std::string_view outcome_text(core::Outcome outcome) {
  switch (outcome) {
    case core::Outcome::kDone:
      return "done";
    case core::Outcome::kNotRun:
      return "not_run";
    case core::Outcome::kUnknown:
      break;
  }
  return "unknown";
}

std::string to_text(const nlohmann::json& json) {
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

EarlierSending earlier_sending(const StatementRequest& statement) {
  const bool has_key = statement.kind == core::StatementKind::kWrite && !statement.key.empty();
  return has_key && !statement.first ? EarlierSending::kPossible : EarlierSending::kNone;
}

CallerAnswer refused(core::RequestId request, core::Error error, EarlierSending earlier) {
  CallerAnswer answer;
  answer.request = std::move(request);
  answer.outcome = earlier == EarlierSending::kPossible ? core::Outcome::kUnknown : core::Outcome::kNotRun;
  answer.error = std::move(error);
  return answer;
}

unsigned http_status(const CallerAnswer& answer) {
  switch (answer.outcome) {
    case core::Outcome::kDone:
      return 200;
    case core::Outcome::kUnknown:
      // The session has to be begun anew, whatever became of the request.
      return answer.error.kind == core::ErrorKind::kPositionLost ? 409 : 504;
    case core::Outcome::kNotRun:
      break;
  }
  return status_of_not_run(answer.error.kind);
}

http::Response to_response(const CallerAnswer& answer) {
  const unsigned status = http_status(answer);
  http::Response response;
  response.status = status;
  JsonWriter body(kEnvelopeBytes + answer.session.size() + answer.transaction.value().size() +
                  answer.result.size());
  body.add_number("attempts", answer.attempts);
  if (!answer.database.empty()) {
    body.add_text("database", answer.database.value());
    body.add_text("served_by", answer.served_by_primary ? "primary" : "replica");
  }
  if (answer.outcome != core::Outcome::kDone) {
    const nlohmann::json error = error_json(answer, status);
    body.add_json("error", to_text(error));
    const auto retry_after_ms = error["retry_after_ms"].get<std::uint32_t>();
    if (retry_after_ms > 0) {
      const std::uint32_t seconds = (retry_after_ms + kMillisPerSecond - 1) / kMillisPerSecond;
      response.headers.push_back({"Retry-After", std::to_string(seconds)});
    }
  }
  body.add_text("outcome", outcome_text(answer.outcome));
  if (answer.outcome == core::Outcome::kDone) {
    body.add_position("position", answer.position);
    body.add_boolean("replayed", answer.replayed);
  }
  body.add_text("request", answer.request.value());
  if (!answer.session.empty()) {
    body.add_text("session", answer.session);
  }
  if (!answer.transaction.empty()) {
    body.add_text("transaction", answer.transaction.value());
  }
  if (answer.outcome == core::Outcome::kDone && !answer.result.empty()) {
    body.add_json("result", answer.result);  // JSON text already, and maybe large.
  }
  response.body = body.finish();
  return response;
}

}  // namespace pipitpond::proxy
