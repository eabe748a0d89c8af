// Admission of a session's statements: checks the caller's key and the tenant's quota.
#include <utility>

#include "logging/logging.hpp"
#include "pooling/caller_session.hpp"

namespace pipitpond::pooling {

using boost::asio::awaitable;

namespace {

/// Retry hint when the key table here may be out of date; other daemons may serve the caller at once.
constexpr core::Duration kUncertainKeysRetryAfter = std::chrono::milliseconds(200);

std::string retry_message(core::Duration duration, const std::string& reason) {
  return "retry in " + std::to_string(core::to_millis(duration)) + " ms: " + reason;
}

StatementReply refusal_of(tenancy::Verdict verdict) {
  if (verdict == tenancy::Verdict::kUnknownKey) {
    return failed_reply(FailureCode::kDenied, "nobody holds this key", TransactionState::kIdle);
  }
  const std::string text = retry_message(kUncertainKeysRetryAfter, "this daemon can't be sure of the keys");
  return failed_reply(FailureCode::kBusy, text, TransactionState::kIdle);
}

void log_refusal(const Statement& statement, const core::TenantName& tenant, const std::string& reason,
                 core::Duration proof_age, core::Duration retry_in) {
  logging::logger("access")->info(
      "event=refused request={} tenant={} reason={} proof_age_ms={} retry_in_ms={}",
      logging::field(statement.id.value()), logging::field(tenant.value()), reason,
      core::to_millis(proof_age), core::to_millis(retry_in));
}

}  // namespace

std::optional<StatementReply> CallerSession::check_caller_key(PendingStatement& pending) const {
  const core::Instant now = core::BootClock::now();
  tenancy::Access access = services_.access.judge(pending.route, key_, now);
  const bool admitted = pending.access.verdict == tenancy::Verdict::kAllowed;
  const bool allowed = access.verdict == tenancy::Verdict::kAllowed;
  const bool key_moved = allowed && admitted && access.tenant != pending.access.tenant;
  if (key_moved) {
    access.verdict = tenancy::Verdict::kUncertain;  // The key moved meanwhile: the caller must retry.
  }
  if (access.verdict == tenancy::Verdict::kAllowed) {
    pending.access = std::move(access);
    return std::nullopt;
  }
  services_.access.count(access.verdict);
  log_refusal(pending.statement, pending.access.tenant, tenancy::to_string(access.verdict),
              services_.access.proof_age(now), kUncertainKeysRetryAfter);
  return refusal_of(access.verdict);
}

void CallerSession::give_back_if_not_run(const PendingStatement& pending, const StatementReply& reply) const {
  const bool not_run = reply.failure && guarantees_not_run(reply.failure->code) && !pending.may_have_run;
  if (pending.quota && not_run) {
    services_.access.give_back(*pending.quota);
  }
}

awaitable<std::optional<StatementReply>> CallerSession::check_admission(PendingStatement& pending) {
  if (auto refusal = check_caller_key(pending)) {
    co_return refusal;
  }
  QuotaScope scope{pending.access.tenant, pending.route.priority};
  const QuotaAnswer answer = co_await services_.access.take_operation(std::move(scope));
  if (answer.outcome == QuotaOutcome::kGranted) {
    pending.quota = answer.receipt;
    co_return std::nullopt;
  }
  services_.access.count(answer);
  const bool over = answer.outcome == QuotaOutcome::kOverQuota;
  const char* reason = over ? "over_quota" : "quota_not_told";
  const std::string text = retry_message(
      answer.retry_in, over ? "the tenant has used up its quota" : "no home of the quota answers");
  log_refusal(pending.statement, pending.access.tenant, reason,
              services_.access.proof_age(core::BootClock::now()), answer.retry_in);
  co_return failed_reply(over ? FailureCode::kOverQuota : FailureCode::kBusy, text, TransactionState::kIdle);
}

/// Ends a transaction whose key was removed or moved to another tenant: its connection belongs to the tenant
/// that began it. A ROLLBACK is always allowed.
std::optional<StatementReply> CallerSession::check_caller_key_in_transaction(const Statement& statement) {
  if (statement.kind == StatementKind::kRollback) {
    return std::nullopt;
  }
  const core::Instant now = core::BootClock::now();
  const tenancy::Access access = services_.access.judge(transaction_->route, key_, now);
  const bool allowed = access.verdict == tenancy::Verdict::kAllowed && access.tenant == transaction_->tenant;
  if (allowed) {
    return std::nullopt;
  }
  const tenancy::Verdict verdict =
      access.verdict == tenancy::Verdict::kAllowed ? tenancy::Verdict::kUnknownKey : access.verdict;
  services_.access.count(verdict);
  log_refusal(statement, transaction_->tenant, tenancy::to_string(verdict), services_.access.proof_age(now),
              kUncertainKeysRetryAfter);
  const bool is_commit = statement.kind == StatementKind::kCommit;
  StatementReply refusal = refusal_of(verdict);
  if (verdict == tenancy::Verdict::kUncertain) {
    refusal.failure->code = FailureCode::kAborted;
  }
  if (is_commit) {
    close_transaction();
    return refusal;
  }
  transaction_->lease.reset();
  transaction_->failed = true;
  refusal.state = TransactionState::kFailed;
  return refusal;
}

}  // namespace pipitpond::pooling
