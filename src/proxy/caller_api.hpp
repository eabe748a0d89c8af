// HTTP front for callers: reads requests strictly, hands them to the flows, and gives every request exactly
// one answer that names it.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <string>

#include "core/error.hpp"
#include "core/ids.hpp"
#include "http/message.hpp"
#include "http/server.hpp"
#include "proxy/caller_answers.hpp"
#include "proxy/caller_requests.hpp"
#include "proxy/flow_parts.hpp"
#include "proxy/request_metrics.hpp"
#include "proxy/statement_flow.hpp"
#include "proxy/transaction_flow.hpp"

namespace pipitpond::proxy {

/// Limits of the front.
struct CallerApiOptions {
  std::size_t max_in_progress = 2000;  ///< Over it requests are refused at once.
};

/// Answers callers.
class CallerApi {
 public:
  /// Tells why the daemon is not ready; "" when it is.
  using Readiness = std::function<std::string()>;

  CallerApi(CallerApiOptions options, FlowParts& parts, StatementFlow& statements,
            TransactionFlow& transactions, RequestMetrics& metrics, Readiness readiness);

  /// Handles one request. The responder is called once, later or now.
  void handle(http::Request request, http::Responder respond);

  /// From now on work that begins is refused. What goes on with earlier work is served: other requests of a
  /// transaction, and keys that may have been sent before, of which nobody can truly say that they did not
  /// run.
  void refuse_new() { refuses_ = true; }
  [[nodiscard]] std::size_t in_progress() const { return in_progress_; }

 private:
  using Flow = std::function<boost::asio::awaitable<CallerAnswer>(core::RequestId)>;

  /// A call that was read.
  struct ParsedCall {
    Flow flow;  ///< Empty when the call can't be read: see `error`.
    bool in_transaction = false;
    EarlierSending earlier = EarlierSending::kNone;
    core::Error error;
  };

  void handle_get(const http::Request& request, const http::Responder& respond);
  void handle_post(http::Request request, http::Responder respond);
  template <typename Parsed, typename Run>
  static ParsedCall parsed_call(core::Result<Parsed> parsed, EarlierSending earlier, Run run);
  ParsedCall read_call(const http::Request& request);
  ParsedCall read_statement(const std::string& body);
  void run(core::RequestId id, Flow flow, http::Responder respond);
  boost::asio::awaitable<void> run_to_answer(core::RequestId id, Flow flow, http::Responder respond);
  void answer(const CallerAnswer& answer, const http::Responder& respond) const;
  void count(const CallerAnswer& answer) const;
  void refuse(core::Error error, unsigned status, const http::Responder& respond);
  /// Turns away a call that could be read.
  void turn_away(core::Error error, EarlierSending earlier, const http::Responder& respond);
  http::Response explain_response(const std::string& query);
  void explain_described_request(const std::string& body, const http::Responder& respond);

  CallerApiOptions options_;
  FlowParts& parts_;
  StatementFlow& statements_;
  TransactionFlow& transactions_;
  RequestMetrics& metrics_;
  Readiness readiness_;
  std::size_t in_progress_ = 0;
  bool refuses_ = false;
};

}  // namespace pipitpond::proxy
