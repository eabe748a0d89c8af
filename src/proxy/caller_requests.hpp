// Callers' requests as typed values, read strictly from JSON: an unknown field, a wrong type or a value out
// of range is an error that names the field.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/outcome.hpp"

namespace pipitpond::proxy {

inline constexpr std::uint32_t kDefaultDeadlineMs = 5000;
inline constexpr std::uint32_t kMaxDeadlineMs = 60'000;
inline constexpr std::size_t kMaxNameLength = 128;
inline constexpr std::size_t kMaxKeyLength = 256;
inline constexpr std::size_t kMaxTokenLength = 8192;
/// Deepest nesting of a body: guards the stack of whatever walks it later.
inline constexpr std::size_t kMaxNesting = 64;

/// Body of POST /v1/statements.
struct StatementRequest {
  core::GroupName group;
  core::StatementKind kind = core::StatementKind::kRead;
  std::string statement;  ///< JSON text.
  std::string session;
  core::RequestKey key;
  bool first = false;  ///< The caller has not sent the key before.
  bool repeatable = false;
  core::TenantName tenant{"default"};
  std::uint32_t deadline_ms = kDefaultDeadlineMs;
  core::TransactionId transaction;
};

/// Body of POST /v1/transactions.
struct BeginTransactionRequest {
  core::GroupName group;
  std::string session;
  core::TenantName tenant{"default"};
  std::uint32_t deadline_ms = kDefaultDeadlineMs;
};

/// Body of POST /v1/transactions/commit and /rollback (which has neither key, first nor session).
struct EndTransactionRequest {
  core::TransactionId transaction;
  core::RequestKey key;
  bool first = false;  ///< The caller has not sent this commit before.
  std::string session;
  std::uint32_t deadline_ms = kDefaultDeadlineMs;
};

/// Body of POST /v1/outcomes.
struct OutcomeRequest {
  core::GroupName group;
  core::RequestKey key;
  bool settle = false;
  std::string session;
  std::uint32_t deadline_ms = kDefaultDeadlineMs;
};

core::Result<StatementRequest> parse_statement_request(const std::string& body);
/// Body of POST /v1/explain: a statement's fields without the statement and the transaction.
core::Result<StatementRequest> parse_described_request(const std::string& body);
core::Result<BeginTransactionRequest> parse_begin_request(const std::string& body);
core::Result<EndTransactionRequest> parse_commit_request(const std::string& body);
core::Result<EndTransactionRequest> parse_rollback_request(const std::string& body);
core::Result<OutcomeRequest> parse_outcome_request(const std::string& body);

}  // namespace pipitpond::proxy
