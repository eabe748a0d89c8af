// Whether a caller's session may have a statement run: its key, and its tenant's quota.
#include <utility>

#include "logging/logging.hpp"
#include "pooling/caller_session.hpp"

namespace pipitpond::pooling {

using boost::asio::awaitable;

namespace {

/// When a caller may come back after keys were not certain here; other daemons may serve it at once.
constexpr core::Duration kKeysComeBack = std::chrono::milliseconds(200);

std::string come_back_in(core::Duration duration, const std::string& reason) {
  return "retry in " + std::to_string(core::to_millis(duration)) + " ms: " + reason;
}

StatementReply refusal_of(tenancy::Verdict verdict) {
  if (verdict == tenancy::Verdict::kUnknownKey) {
    return failed_reply(FailureCode::kDenied, "nobody holds this key", TransactionState::kIdle);
  }
  const std::string text = come_back_in(kKeysComeBack, "this daemon can't be sure of the keys");
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

std::optional<StatementReply> CallerSession::refuse_key(Search& search) const {
  const core::Instant now = core::BootClock::now();
  tenancy::Access access = services_.access.judge(search.route, key_, now);
  const bool begun = search.access.verdict == tenancy::Verdict::kAllowed;
  const bool allowed = access.verdict == tenancy::Verdict::kAllowed;
  const bool other_tenant = allowed && begun && access.tenant != search.access.tenant;
  if (other_tenant) {
    access.verdict = tenancy::Verdict::kUncertain;  // Its key moved meanwhile: it is to ask again.
  }
  if (access.verdict == tenancy::Verdict::kAllowed) {
    search.access = std::move(access);
    return std::nullopt;
  }
  services_.access.count(access.verdict);
  log_refusal(search.statement, search.access.tenant, tenancy::to_string(access.verdict),
              services_.access.proof_age(now), kKeysComeBack);
  return refusal_of(access.verdict);
}

void CallerSession::give_back_if_not_run(const Search& search, const StatementReply& reply) const {
  const bool not_run = reply.failure && guarantees_not_run(reply.failure->code) && !search.may_have_run;
  if (search.quota && not_run) {
    services_.access.give_back(*search.quota);
  }
}

awaitable<std::optional<StatementReply>> CallerSession::refuse_or_admit(Search& search) {
  if (auto refusal = refuse_key(search)) {
    co_return refusal;
  }
  QuotaScope asked{search.access.tenant, search.route.priority};
  const QuotaAnswer answer = co_await services_.access.take_operation(std::move(asked));
  if (answer.outcome == QuotaOutcome::kGranted) {
    search.quota = answer.receipt;
    co_return std::nullopt;
  }
  services_.access.count(answer);
  const bool over = answer.outcome == QuotaOutcome::kOverQuota;
  const char* reason = over ? "over_quota" : "quota_not_told";
  const std::string text = come_back_in(
      answer.retry_in, over ? "the tenant has used up its quota" : "no home of the quota answers");
  log_refusal(search.statement, search.access.tenant, reason,
              services_.access.proof_age(core::BootClock::now()), answer.retry_in);
  co_return failed_reply(over ? FailureCode::kOverQuota : FailureCode::kBusy, text, TransactionState::kIdle);
}

/// A transaction whose key went, or came to another tenant, ends: its connection belongs to the tenant for
/// which it was begun. Its rollback is always carried out.
std::optional<StatementReply> CallerSession::refuse_key_in_transaction(const Statement& statement) {
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
              kKeysComeBack);
  const bool ends = statement.kind == StatementKind::kCommit;
  StatementReply refusal = refusal_of(verdict);
  if (verdict == tenancy::Verdict::kUncertain) {
    refusal.failure->code = FailureCode::kAborted;
  }
  if (ends) {
    leave_transaction();
    return refusal;
  }
  transaction_->lease.reset();
  transaction_->failed = true;
  refusal.state = TransactionState::kFailed;
  return refusal;
}

}  // namespace pipitpond::pooling
