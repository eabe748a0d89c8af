#include "pooling/statement.hpp"

#include <utility>

namespace pipitpond::pooling {

const char* to_string(FailureCode code) {
  switch (code) {
    case FailureCode::kBusy:
      return "busy";
    case FailureCode::kAborted:
      return "aborted";
    case FailureCode::kBehind:
      return "behind";
    case FailureCode::kReadOnly:
      return "read_only";
    case FailureCode::kWrongDatabase:
      return "wrong_database";
    case FailureCode::kTooManyConnections:
      return "too_many_connections";
    case FailureCode::kUnsure:
      return "unsure";
    case FailureCode::kTimeout:
      return "timeout";
    case FailureCode::kFailed:
      return "failed";
    case FailureCode::kNoStatement:
      return "no_statement";
    case FailureCode::kUnknownDatabase:
      return "unknown_database";
    case FailureCode::kTooLarge:
      return "too_large";
    case FailureCode::kBad:
      return "bad";
    case FailureCode::kDenied:
      return "denied";
    case FailureCode::kOverQuota:
      return "over_quota";
  }
  return "unknown";
}

bool may_write(const Statement& statement) {
  return statement.kind == StatementKind::kWrite ||
         (statement.kind == StatementKind::kExecute && statement.writes);
}

bool begins_transaction(const Statement& statement) {
  return statement.kind == StatementKind::kBegin || statement.kind == StatementKind::kBeginReadOnly;
}

StatementReply local_success_reply(TransactionState state) {
  StatementReply reply;
  reply.state = state;
  return reply;
}

StatementReply failed_reply(FailureCode code, std::string text, TransactionState state) {
  StatementReply reply;
  reply.failure = Failure{code, std::move(text)};
  reply.state = state;
  return reply;
}

bool guarantees_not_run(FailureCode code) {
  switch (code) {
    case FailureCode::kBusy:
    case FailureCode::kBehind:
    case FailureCode::kReadOnly:
    case FailureCode::kWrongDatabase:
    case FailureCode::kTooManyConnections:
    case FailureCode::kNoStatement:
    case FailureCode::kOverQuota:
      return true;
    default:
      return false;
  }
}

}  // namespace pipitpond::pooling
