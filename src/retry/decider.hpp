// Decides, after each attempt of one request, what comes next: an answer that is never false, or a further
// step that can't run a non-repeatable statement twice (see docs/design/retry.md).
#pragma once

#include <cstdint>
#include <optional>
#include <pcg_random.hpp>
#include <variant>

#include "core/clock.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"
#include "core/outcome.hpp"
#include "policy/rules.hpp"
#include "retry/attempt.hpp"
#include "retry/budget.hpp"

namespace pipitpond::retry {

/// First and longest wait before another attempt; the wait doubles, with full jitter.
inline constexpr core::Duration kFirstBackoff = std::chrono::milliseconds(10);
inline constexpr core::Duration kMaxBackoff = std::chrono::milliseconds(400);
/// A request for which no database could be chosen (a change of primary is in progress) looks again this
/// often, and for this long at most.
inline constexpr core::Duration kChoiceBackoff = std::chrono::milliseconds(25);
inline constexpr core::Duration kMaxChoiceWait = std::chrono::milliseconds(3000);
/// When to come back to a group that is lost: this, and up to as much again, so that callers don't come back
/// together.
inline constexpr core::Duration kLostGroupRetryAfter = std::chrono::milliseconds(1000);
/// Time kept back for settling a key before the deadline.
inline constexpr core::Duration kSettleReserve = std::chrono::milliseconds(150);
/// Time that a further attempt must have before the deadline to be worth making.
inline constexpr core::Duration kLeastAttemptTime = std::chrono::milliseconds(5);
/// Attempts to settle one key.
inline constexpr std::uint32_t kMaxSettleAttempts = 4;

/// Answer the caller now.
struct AnswerStep {
  core::Outcome outcome = core::Outcome::kUnknown;
  core::Error error;  ///< Meaningful unless kDone.
};

/// Where the next attempt goes.
enum class NextTarget : std::uint8_t {
  kNextReplica,  ///< The next candidate of the read choice (chosen anew when the list is used up).
  kPrimary,      ///< The primary of the latest known term.
};

/// Wait, then make another attempt.
struct TryAgainStep {
  core::Duration backoff;
  NextTarget target = NextTarget::kPrimary;
};

/// Wait, then ask the primary of the latest known term for the key's outcome, settling it.
struct SettleStep {
  core::Duration backoff;
};

/// Ask the group's databases, now, whether a majority has promised no later term than `term`.
struct ConfirmTermStep {
  core::Term term = 0;
};

using NextStep = std::variant<AnswerStep, TryAgainStep, SettleStep, ConfirmTermStep>;

/// What the decider needs to know of a request.
struct RequestTraits {
  core::StatementKind kind = core::StatementKind::kRead;
  bool repeatable = false;  ///< A write that the caller allows to run more than once.
  core::RequestKey key;     ///< Empty: none.
  /// The caller has not sent this key before. Otherwise an earlier request with it may have run, and "not
  /// run" is only said when the key has been settled.
  bool first = false;
  bool in_transaction = false;  ///< Statements of open transactions are never sent again.
  core::Instant deadline;
};

/// What the daemon knows at the moment of a decision. Read it after the answer arrived.
struct Standing {
  bool lease_valid = false;    ///< The daemon's lease, by a clock that counts through a freeze.
  core::Term latest_term = 0;  ///< Latest term of the group that the daemon's configuration knows.
};

/// Answer of a primary to a KeyRequest with settle, or the failure of asking.
struct SettleReport {
  AttemptResult result = AttemptResult::kMayHaveRun;  ///< kDone when the primary answered the question.
  core::Outcome outcome = core::Outcome::kUnknown;    ///< The primary's answer.
  core::Term term = 0;                                ///< Term at which it was asked.
  core::Error error;
  bool group_is_lost = false;  ///< As in AttemptReport.
};

/// Decisions about one request. Call the method that belongs to the step just made.
class RetryDecider {
 public:
  RetryDecider(RequestTraits traits, policy::RetryRule rule, RetryBudget& budget, pcg32& random);

  /// An attempt has ended. A report with an empty `database` means that none could be chosen: nothing was
  /// sent.
  NextStep after_attempt(const AttemptReport& report, const Standing& standing, core::Instant now);
  /// The question of a ConfirmTermStep has been answered: a majority named no later term, or not.
  NextStep after_confirmation(bool confirmed, core::Instant now);
  /// The question of a SettleStep has been answered. When the answer is kDone, the caller gets the result
  /// that came with it.
  NextStep after_settle(const SettleReport& report, const Standing& standing, core::Instant now);

  /// For a request that asks for the outcome of a key (POST /v1/outcomes) and makes no attempt of its own.
  NextStep start_settling(core::Instant now);

  /// Attempts made so far.
  [[nodiscard]] std::uint32_t attempts() const { return attempts_; }

 private:
  NextStep decide_done(core::Term term, const Standing& standing);
  NextStep decide_not_run(const AttemptReport& report, core::Instant now);
  NextStep decide_rejected(const core::Error& error, core::Instant now);
  NextStep decide_without_choice(const AttemptReport& report, core::Instant now);
  NextStep decide_may_have_run(const core::Error& error, core::Instant now);
  NextStep give_up(const core::Error& error, core::Instant now);
  NextStep give_up_key(const core::Error& error, core::Instant now);
  NextStep ask_when_possible(const SettleReport& report, core::Instant now);
  NextStep settle_or_unknown(const core::Error& error, core::Instant now);
  /// The error with a time at which another try may find the group again.
  [[nodiscard]] core::Error lost_group_error(core::Error error);
  [[nodiscard]] AnswerStep not_run(const core::Error& error) const;
  [[nodiscard]] AnswerStep unknown(const core::Error& error) const;
  [[nodiscard]] bool may_try_again(core::Instant now, core::Duration backoff);
  [[nodiscard]] bool resend_is_safe() const;
  /// An earlier request with the key may have been sent.
  [[nodiscard]] bool was_sent_before() const;
  [[nodiscard]] NextTarget next_target() const;
  [[nodiscard]] core::Duration next_backoff();
  [[nodiscard]] core::Duration jitter(core::Duration most);

  RequestTraits traits_;
  policy::RetryRule rule_;
  RetryBudget& budget_;
  pcg32& random_;
  std::uint32_t attempts_ = 0;
  std::uint32_t backoffs_ = 0;
  std::uint32_t settle_attempts_ = 0;
  std::optional<core::Instant> without_choice_since_;
  std::optional<core::Error> rejection_;  // Why the database rejected an attempt.
  bool may_have_run_ = false;             // Some attempt may have had an effect.
};

}  // namespace pipitpond::retry
