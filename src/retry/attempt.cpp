#include "retry/attempt.hpp"

#include <array>

namespace pipitpond::retry {
namespace {

/// What a proved "not run" says about further attempts.
AttemptResult classify_not_run(core::ErrorKind kind) {
  switch (kind) {
    case core::ErrorKind::kConnectionRefused:
      return AttemptResult::kNothingSent;
    case core::ErrorKind::kFenced:
    case core::ErrorKind::kNotPrimary:
      return AttemptResult::kFenced;
    case core::ErrorKind::kStale:
      return AttemptResult::kStale;
    case core::ErrorKind::kOverloaded:
    case core::ErrorKind::kNoCapacity:
      return AttemptResult::kOverloaded;
    case core::ErrorKind::kInvalidArgument:
    case core::ErrorKind::kNotFound:
    case core::ErrorKind::kTooLarge:
    case core::ErrorKind::kPolicyDenied:
    case core::ErrorKind::kForgedToken:
    case core::ErrorKind::kPositionLost:
      return AttemptResult::kRejected;
    case core::ErrorKind::kKeyExpired:
      return AttemptResult::kKeyExpired;
    case core::ErrorKind::kKeySettled:
      return AttemptResult::kKeySettled;
    default:
      return AttemptResult::kNotRun;
  }
}

}  // namespace

std::string_view to_string(AttemptResult result) {
  constexpr std::array kTexts = {std::string_view("done"),        std::string_view("nothing_sent"),
                                 std::string_view("not_run"),     std::string_view("fenced"),
                                 std::string_view("stale"),       std::string_view("overloaded"),
                                 std::string_view("rejected"),    std::string_view("key_expired"),
                                 std::string_view("key_settled"), std::string_view("may_have_run")};
  return kTexts.at(static_cast<std::size_t>(result));
}

AttemptResult classify(const protocol::ForwardReply& reply) {
  switch (reply.outcome) {
    case core::Outcome::kDone:
      return AttemptResult::kDone;
    case core::Outcome::kNotRun:
      return classify_not_run(reply.error.kind);
    case core::Outcome::kUnknown:
      // A past key is refused before anything runs, but says nothing about earlier attempts.
      return reply.error.kind == core::ErrorKind::kKeyExpired ? AttemptResult::kKeyExpired
                                                              : AttemptResult::kMayHaveRun;
  }
  return AttemptResult::kMayHaveRun;
}

AttemptResult classify(const core::Error& error) {
  // Only a refused connection is proof without an answer. Kinds such as kOverloaded prove nothing here:
  // without an outcome they may be about a statement that was sent.
  return error.kind == core::ErrorKind::kConnectionRefused ? AttemptResult::kNothingSent
                                                           : AttemptResult::kMayHaveRun;
}

bool proves_not_run(AttemptResult result) {
  return result != AttemptResult::kDone && result != AttemptResult::kMayHaveRun;
}

}  // namespace pipitpond::retry
