// Answers to callers, and how they are written as HTTP.
#pragma once

#include <cstdint>
#include <string>

#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"
#include "core/outcome.hpp"
#include "http/message.hpp"
#include "proxy/caller_requests.hpp"

namespace pipitpond::proxy {

/// Everything that a caller is told about its request.
struct CallerAnswer {
  core::RequestId request;
  core::Outcome outcome = core::Outcome::kNotRun;
  std::string result;  ///< JSON text; "" for none.
  core::DatabaseId database;
  bool served_by_primary = false;
  core::LogPosition position;
  std::string session;
  core::TransactionId transaction;
  bool replayed = false;
  std::uint32_t attempts = 0;
  bool is_plain_read = false;  ///< A read outside transactions.
  core::Error error;           ///< Meaningful unless done.
};

/// What a refused request may have done before, when it was sent for the first time.
enum class EarlierSending : std::uint8_t {
  kNone,      ///< This is the only sending, or the request has no key: "not run" is about it alone.
  kPossible,  ///< An earlier request with the same key, or commit of the same transaction, may have run.
};

/// Whether an earlier sending of a statement may have run.
EarlierSending earlier_sending(const StatementRequest& statement);

/// Answer to a request that was refused before any attempt. A refusal tells nothing about earlier sendings,
/// so with one the outcome is unknown.
CallerAnswer refused(core::RequestId request, core::Error error, EarlierSending earlier);

/// HTTP status of an answer.
unsigned http_status(const CallerAnswer& answer);

/// Whole response, with Retry-After where the error names a time.
http::Response to_response(const CallerAnswer& answer);

}  // namespace pipitpond::proxy
