#include "retry/decider.hpp"

#include <algorithm>
#include <utility>

namespace pipitpond::retry {
namespace {

/// Doublings after which the backoff has reached its longest value.
constexpr std::uint32_t kMaxDoublings = 6;

core::Error replaced_primary() {
  return core::Error{core::ErrorKind::kFenced,
                     "A primary answered, but it could not be shown that it had not been replaced.", "", 0};
}

}  // namespace

RetryDecider::RetryDecider(RequestTraits traits, policy::RetryRule rule, RetryBudget& budget, pcg32& random)
    : traits_(std::move(traits)), rule_(rule), budget_(budget), random_(random) {}

NextStep RetryDecider::after_attempt(const AttemptReport& report, const Standing& standing,
                                     core::Instant now) {
  if (report.database.empty() && report.result == AttemptResult::kNothingSent) {
    return decide_without_choice(report, now);
  }
  without_choice_since_.reset();
  ++attempts_;
  if (attempts_ == 1) {
    budget_.earn();
  }
  switch (report.result) {
    case AttemptResult::kDone:
      return decide_done(report.term, standing);
    case AttemptResult::kMayHaveRun:
      may_have_run_ = true;
      return decide_may_have_run(report.error, now);
    case AttemptResult::kKeySettled:
      // The key's entry in the log bars all attempts with it, those of other proxies included.
      return AnswerStep{core::Outcome::kNotRun, report.error};
    case AttemptResult::kKeyExpired:
      // This attempt was refused, but the same key may have run within its retention, for an earlier request.
      return unknown(report.error);
    case AttemptResult::kRejected:
      return decide_rejected(report.error, now);
    default:
      return decide_not_run(report, now);
  }
}

NextStep RetryDecider::decide_done(core::Term term, const Standing& standing) {
  if (traits_.kind == core::StatementKind::kRead) {
    return AnswerStep{core::Outcome::kDone, {}};
  }
  // With a valid lease the daemon is told of a later term before that term's primary is promoted.
  if (standing.lease_valid && standing.latest_term <= term) {
    return AnswerStep{core::Outcome::kDone, {}};
  }
  may_have_run_ = true;
  return ConfirmTermStep{term};
}

NextStep RetryDecider::after_confirmation(bool confirmed, core::Instant now) {
  if (confirmed) {
    return AnswerStep{core::Outcome::kDone, {}};
  }
  return settle_or_unknown(replaced_primary(), now);
}

NextStep RetryDecider::decide_not_run(const AttemptReport& report, core::Instant now) {
  // An earlier commit of the same transaction may have reached the owner that can't be reached now. Other
  // refusals come from the owner or its connection, which know the transaction.
  if (traits_.in_transaction && !traits_.first && report.result == AttemptResult::kNothingSent) {
    return settle_or_unknown(report.error, now);
  }
  const bool is_write = traits_.kind == core::StatementKind::kWrite;
  // There is one primary: when it has no capacity, another attempt only adds to its load.
  if (is_write && report.result == AttemptResult::kOverloaded) {
    return give_up(report.error, now);
  }
  const bool elsewhere =
      report.result == AttemptResult::kStale || report.result == AttemptResult::kOverloaded;
  const core::Duration backoff = elsewhere ? core::Duration(0) : next_backoff();
  if (!may_try_again(now, backoff)) {
    return give_up(report.error, now);
  }
  return TryAgainStep{backoff, next_target()};
}

NextStep RetryDecider::decide_rejected(const core::Error& error, core::Instant now) {
  // What is wrong with the request may depend on the data or on the time, so another sending of the key may
  // still be accepted: only the key's own entry bars it. No further sending of this key can be wanted.
  if (may_have_run_ || was_sent_before()) {
    rejection_ = error;
    return give_up_key(error, now);
  }
  return AnswerStep{core::Outcome::kNotRun, error};
}

NextStep RetryDecider::decide_without_choice(const AttemptReport& report, core::Instant now) {
  if (report.group_is_lost) {
    // Waiting would only gather callers, who then all come at the moment of the group's return.
    const core::Error error = lost_group_error(report.error);
    return may_have_run_ ? unknown(error) : not_run(error);
  }
  if (!without_choice_since_) {
    without_choice_since_ = now;
  }
  const core::Duration backoff = kChoiceBackoff / 2 + jitter(kChoiceBackoff / 2);
  const bool has_time =
      now + backoff + kLeastAttemptTime < traits_.deadline && now - *without_choice_since_ < kMaxChoiceWait;
  if (traits_.in_transaction || rule_.attempts <= 1 || !has_time) {
    return give_up(report.error, now);
  }
  return TryAgainStep{backoff, next_target()};
}

NextStep RetryDecider::decide_may_have_run(const core::Error& error, core::Instant now) {
  const core::Duration backoff = next_backoff();
  if (resend_is_safe() && may_try_again(now, backoff)) {
    return TryAgainStep{backoff, next_target()};
  }
  return give_up(error, now);
}

NextStep RetryDecider::give_up(const core::Error& error, core::Instant now) {
  return may_have_run_ ? give_up_key(error, now) : not_run(error);
}

NextStep RetryDecider::give_up_key(const core::Error& error, core::Instant now) {
  if (traits_.kind == core::StatementKind::kRead) {
    return unknown(error);
  }
  return settle_or_unknown(error, now);
}

NextStep RetryDecider::start_settling(core::Instant now) {
  may_have_run_ = true;
  return settle_or_unknown(
      core::Error{core::ErrorKind::kUnavailable, "The outcome of the key could not be found out.", "", 0},
      now);
}

NextStep RetryDecider::settle_or_unknown(const core::Error& error, core::Instant now) {
  if (traits_.key.empty() || settle_attempts_ >= kMaxSettleAttempts) {
    return unknown(error);
  }
  // The first question is free, since the answer depends on it; more of them are retries like others.
  const core::Duration backoff = settle_attempts_ == 0 ? core::Duration(0) : next_backoff();
  const bool has_time = now + backoff + kLeastAttemptTime < traits_.deadline;
  if (!has_time || (settle_attempts_ > 0 && !budget_.spend())) {
    return unknown(error);
  }
  ++settle_attempts_;
  return SettleStep{backoff};
}

NextStep RetryDecider::after_settle(const SettleReport& report, const Standing& standing, core::Instant now) {
  if (report.result == AttemptResult::kDone && report.outcome == core::Outcome::kDone) {
    return decide_done(report.term, standing);
  }
  if (report.result == AttemptResult::kDone && report.outcome == core::Outcome::kNotRun) {
    // Held by a majority of the group's logs: true for good, whoever is primary later.
    return AnswerStep{core::Outcome::kNotRun, rejection_.value_or(report.error)};
  }
  const bool answered = report.result == AttemptResult::kDone;
  const bool hopeless =
      report.result == AttemptResult::kKeyExpired || report.result == AttemptResult::kRejected;
  if (answered || hopeless) {
    return unknown(report.error);
  }
  if (proves_not_run(report.result)) {
    return ask_when_possible(report, now);
  }
  return settle_or_unknown(report.error, now);
}

NextStep RetryDecider::ask_when_possible(const SettleReport& report, core::Instant now) {
  if (report.group_is_lost) {
    return unknown(lost_group_error(report.error));
  }
  // The question was not asked, or of a primary that has been replaced. It costs no database anything to wait
  // until there is one to ask, and the answer depends on it.
  if (!without_choice_since_) {
    without_choice_since_ = now;
  }
  const core::Duration backoff = kChoiceBackoff / 2 + jitter(kChoiceBackoff / 2);
  const bool has_time =
      now + backoff + kLeastAttemptTime < traits_.deadline && now - *without_choice_since_ < kMaxChoiceWait;
  if (traits_.key.empty() || !has_time) {
    return unknown(report.error);
  }
  return SettleStep{backoff};
}

core::Error RetryDecider::lost_group_error(core::Error error) {
  const core::Duration retry_after = kLostGroupRetryAfter + jitter(kLostGroupRetryAfter);
  error.retry_after_ms = static_cast<std::uint32_t>(core::to_millis(retry_after));
  return error;
}

bool RetryDecider::was_sent_before() const {
  return traits_.kind == core::StatementKind::kWrite && !traits_.key.empty() && !traits_.first;
}

AnswerStep RetryDecider::not_run(const core::Error& error) const {
  if (!was_sent_before()) {
    return AnswerStep{core::Outcome::kNotRun, error};
  }
  // This request did not run, but the caller may ask because an earlier one with its key went unanswered.
  // Settling the key would make "not run" true, but also bar the caller from sending it again when there is
  // room.
  core::Error answer = error;
  answer.remedy = "Send it again with the same key, or ask POST /v1/outcomes for the key.";
  return AnswerStep{core::Outcome::kUnknown, std::move(answer)};
}

AnswerStep RetryDecider::unknown(const core::Error& error) const {
  core::Error answer = error;
  if (traits_.kind == core::StatementKind::kRead) {
    answer.remedy = "Send the read again; it changes nothing.";
  } else if (traits_.key.empty()) {
    answer.remedy = "Look whether the write is there before sending it again, and send writes with a key.";
  } else if (error.kind != core::ErrorKind::kKeyExpired) {
    answer.remedy = "Send it again with the same key, or ask POST /v1/outcomes for the key.";
  }
  return AnswerStep{core::Outcome::kUnknown, std::move(answer)};
}

bool RetryDecider::may_try_again(core::Instant now, core::Duration backoff) {
  const bool has_time = now + backoff + kLeastAttemptTime < traits_.deadline;
  return !traits_.in_transaction && attempts_ < rule_.attempts && has_time && budget_.spend();
}

bool RetryDecider::resend_is_safe() const {
  if (traits_.kind == core::StatementKind::kRead) {
    return true;
  }
  // The database records the key in the entry of the write itself, so a resent key can't run twice.
  return !traits_.key.empty() || (traits_.repeatable && rule_.repeatable_writes);
}

NextTarget RetryDecider::next_target() const {
  return traits_.kind == core::StatementKind::kRead ? NextTarget::kNextReplica : NextTarget::kPrimary;
}

core::Duration RetryDecider::next_backoff() {
  const std::uint32_t doublings = std::min(backoffs_, kMaxDoublings);
  ++backoffs_;
  return jitter(std::min(kMaxBackoff, kFirstBackoff * (1U << doublings)));
}

core::Duration RetryDecider::jitter(core::Duration most) {
  return core::Duration(random_(static_cast<std::uint32_t>(most.count()) + 1));
}

}  // namespace pipitpond::retry
