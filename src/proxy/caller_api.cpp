#include "proxy/caller_api.hpp"

#include <boost/asio/co_spawn.hpp>
#include <exception>
#include <nlohmann/json.hpp>
#include <utility>

#include "proxy/described_request.hpp"

namespace pipitpond::proxy {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kMethodNotAllowed = 405;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;
constexpr std::uint32_t kBusyRetryAfterMs = 1000;

/// Value of a parameter of a query such as "request=a&x=b"; "" when absent. Identifiers need no decoding.
std::string query_value(const std::string& query, const std::string& name) {
  std::size_t at = 0;
  while (at < query.size()) {
    const std::size_t end = std::min(query.find('&', at), query.size());
    const std::string part = query.substr(at, end - at);
    if (part.starts_with(name + "=")) {
      return part.substr(name.size() + 1);
    }
    at = end + 1;
  }
  return {};
}

core::Error internal_error(const std::string& what) {
  return {core::ErrorKind::kInternal, "The daemon failed while it handled the request: " + what,
          "Ask for the key's outcome, and report the fault with the daemon's log.", 0};
}

}  // namespace

CallerApi::CallerApi(CallerApiOptions options, FlowParts& parts, StatementFlow& statements,
                     TransactionFlow& transactions, RequestMetrics& metrics, Readiness readiness)
    : options_(options),
      parts_(parts),
      statements_(statements),
      transactions_(transactions),
      metrics_(metrics),
      readiness_(std::move(readiness)) {}

void CallerApi::handle(http::Request request, http::Responder respond) {
  if (request.method == "GET") {
    handle_get(request, respond);
  } else if (request.method == "POST") {
    handle_post(std::move(request), std::move(respond));
  } else {
    refuse({core::ErrorKind::kInvalidArgument, "Method is not known here.", "Use GET or POST.", 0},
           kMethodNotAllowed, respond);
  }
}

void CallerApi::handle_get(const http::Request& request, const http::Responder& respond) {
  http::Response response;
  if (request.path == "/healthz") {
    response.body = R"({"status":"ok"})";
  } else if (request.path == "/readyz") {
    const std::string reason = readiness_();
    response.status = reason.empty() ? kOk : kUnavailable;
    response.body = nlohmann::json{{"ready", reason.empty()}, {"reason", reason}}.dump();
  } else if (request.path == "/v1/explain") {
    response = explain_response(request.query);
  } else {
    refuse({core::ErrorKind::kNotFound, "There is no such path.", "See docs/API.md for the calls.", 0},
           kNotFound, respond);
    return;
  }
  respond(std::move(response));
}

void CallerApi::handle_post(http::Request request, http::Responder respond) {
  if (request.path == "/v1/explain") {
    explain_described_request(request.body, respond);
    return;
  }
  ParsedCall call = read_call(request);
  if (!call.flow) {
    refuse(call.error, call.error.kind == core::ErrorKind::kNotFound ? kNotFound : kBadRequest, respond);
    return;
  }
  const bool goes_on = call.in_transaction || call.earlier == EarlierSending::kPossible;
  if (refuses_ && !goes_on) {
    turn_away({core::ErrorKind::kLeaving, "This daemon is being stopped.",
               "Send the request to another daemon at once.", 1},
              call.earlier, respond);
    return;
  }
  if (in_progress_ >= options_.max_in_progress) {
    ++metrics_.overloaded;
    turn_away({core::ErrorKind::kOverloaded, "Too many requests are in progress at this daemon.",
               "Send the request again later.", kBusyRetryAfterMs},
              call.earlier, respond);
    return;
  }
  run(next_request_id(parts_), std::move(call.flow), std::move(respond));
}

template <typename Parsed, typename Run>
CallerApi::ParsedCall CallerApi::parsed_call(core::Result<Parsed> parsed, EarlierSending earlier, Run run) {
  ParsedCall call;
  call.earlier = earlier;
  if (!parsed) {
    call.error = parsed.error();
    return call;
  }
  call.flow = [run = std::move(run), request = std::move(parsed).value()](core::RequestId id) {
    return run(std::move(id), request);
  };
  return call;
}

CallerApi::ParsedCall CallerApi::read_call(const http::Request& request) {
  if (request.path == "/v1/statements") {
    return read_statement(request.body);
  }
  if (request.path == "/v1/transactions") {
    return parsed_call(parse_begin_request(request.body), EarlierSending::kNone,
                       [this](core::RequestId id, BeginTransactionRequest begin) {
                         return transactions_.begin(std::move(id), std::move(begin));
                       });
  }
  if (request.path == "/v1/transactions/commit") {
    return parsed_call(parse_commit_request(request.body), EarlierSending::kPossible,
                       [this](core::RequestId id, EndTransactionRequest commit) {
                         return transactions_.commit(std::move(id), std::move(commit));
                       });
  }
  if (request.path == "/v1/transactions/rollback") {
    ParsedCall call = parsed_call(parse_rollback_request(request.body), EarlierSending::kNone,
                                  [this](core::RequestId id, EndTransactionRequest roll_back) {
                                    return transactions_.roll_back(std::move(id), std::move(roll_back));
                                  });
    call.in_transaction = true;
    return call;
  }
  if (request.path == "/v1/outcomes") {
    return parsed_call(parse_outcome_request(request.body), EarlierSending::kPossible,
                       [this](core::RequestId id, OutcomeRequest question) {
                         return statements_.resolve(std::move(id), std::move(question));
                       });
  }
  ParsedCall unknown;
  unknown.error = {core::ErrorKind::kNotFound, "There is no such path.", "See docs/API.md for the calls.", 0};
  return unknown;
}

CallerApi::ParsedCall CallerApi::read_statement(const std::string& body) {
  auto parsed = parse_statement_request(body);
  const bool in_transaction = parsed && !parsed.value().transaction.empty();
  const EarlierSending earlier =
      parsed && !in_transaction ? earlier_sending(parsed.value()) : EarlierSending::kNone;
  ParsedCall call = parsed_call(
      std::move(parsed), earlier, [this, in_transaction](core::RequestId id, StatementRequest statement) {
        return in_transaction ? transactions_.run(std::move(id), std::move(statement))
                              : statements_.run(std::move(id), std::move(statement));
      });
  call.in_transaction = in_transaction;
  return call;
}

void CallerApi::run(core::RequestId id, Flow flow, http::Responder respond) {
  ++in_progress_;
  auto ended = [this, id, respond](std::exception_ptr failure) {
    --in_progress_;
    if (!failure) {
      return;
    }
    CallerAnswer failed = refused(id, {}, EarlierSending::kPossible);
    try {
      std::rethrow_exception(failure);
    } catch (const std::exception& error) {
      failed.error = internal_error(error.what());
    }
    answer(failed, respond);
  };
  boost::asio::co_spawn(parts_.io, run_to_answer(std::move(id), std::move(flow), std::move(respond)),
                        std::move(ended));
}

boost::asio::awaitable<void> CallerApi::run_to_answer(core::RequestId id, Flow flow,
                                                      http::Responder respond) {
  const core::Instant started = core::BootClock::now();
  const CallerAnswer reached = co_await flow(std::move(id));
  const core::Duration took = core::BootClock::now() - started;
  metrics_.latency_us += static_cast<std::uint64_t>(took.count());
  answer(reached, respond);
}

void CallerApi::answer(const CallerAnswer& answer, const http::Responder& respond) const {
  count(answer);
  http::Response response = to_response(answer);
  respond(std::move(response));
}

void CallerApi::count(const CallerAnswer& answer) const {
  switch (answer.outcome) {
    case core::Outcome::kDone:
      ++metrics_.done;
      break;
    case core::Outcome::kNotRun:
      ++metrics_.not_run;
      break;
    case core::Outcome::kUnknown:
      ++metrics_.unknown;
      break;
  }
  metrics_.attempts += answer.attempts;
  metrics_.retries += answer.attempts > 1 ? answer.attempts - 1 : 0;
  const bool done = answer.outcome == core::Outcome::kDone;
  metrics_.replayed += done && answer.replayed ? 1 : 0;
  if (done && answer.is_plain_read) {
    ++(answer.served_by_primary ? metrics_.reads_by_primary : metrics_.reads_by_replica);
  }
  if (!done && answer.error.kind == core::ErrorKind::kPositionLost) {
    ++metrics_.position_lost;
  }
  if (!done && http_status(answer) == kTooManyRequests) {
    ++metrics_.overloaded;
  }
}

void CallerApi::refuse(core::Error error, unsigned status, const http::Responder& respond) {
  ++metrics_.malformed;
  const CallerAnswer refusal = refused(next_request_id(parts_), std::move(error), EarlierSending::kNone);
  http::Response response = to_response(refusal);
  response.status = status;
  respond(std::move(response));
}

void CallerApi::turn_away(core::Error error, EarlierSending earlier, const http::Responder& respond) {
  answer(refused(next_request_id(parts_), std::move(error), earlier), respond);
}

void CallerApi::explain_described_request(const std::string& body, const http::Responder& respond) {
  const auto described = parse_described_request(body);
  if (!described) {
    refuse(described.error(), kBadRequest, respond);
    return;
  }
  const auto explained = explain_described(parts_, described.value());
  if (!explained) {
    turn_away(explained.error(), EarlierSending::kNone, respond);
    return;
  }
  http::Response response;
  response.body = explained.value().dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  respond(std::move(response));
}

http::Response CallerApi::explain_response(const std::string& query) {
  const core::RequestId id(query_value(query, "request"));
  const routing::Explanation* explanation = parts_.explanations.find(id);
  http::Response response;
  if (explanation == nullptr) {
    response = to_response(refused(next_request_id(parts_),
                                   {core::ErrorKind::kNotFound, "This daemon does not remember the request.",
                                    "Ask the daemon that answered it, soon after the answer.", 0},
                                   EarlierSending::kNone));
    return response;
  }
  nlohmann::json steps = nlohmann::json::array();
  for (const routing::ExplanationStep& step : explanation->steps) {
    steps.push_back({{"after_us", step.after.count()},
                     {"database", step.database},
                     {"decision", step.decision},
                     {"detail", step.detail}});
  }
  const nlohmann::json body = {{"request", id}, {"steps", std::move(steps)}};
  response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

}  // namespace pipitpond::proxy
