// One step of a generated sequence: a request of a caller, a fault, or a pause.
#pragma once

#include <cstdint>
#include <ostream>
#include <string>

namespace pipitpond::fuzz {

/// Kinds of step. Requests are queued at their caller; faults happen at once, beside the requests in
/// progress.
enum class Action : std::uint8_t {
  kRead,
  kList,
  kReadLarge,    ///< A generated text of some hundred kilobytes.
  kWrite,        ///< One put or add.
  kTwinWrite,    ///< The same key through two proxies at once.
  kLeave,        ///< A write whose caller closes the connection without waiting for the answer.
  kTransaction,  ///< Begin, statements, and an end.
  kAskOutcome,   ///< Asks for the outcome of the caller's last key.
  kKillProxy,
  kFreezeProxy,
  kRestartProxy,
  kDrainProxy,
  kKillDatabase,
  kFreezeDatabase,
  kRestartDatabase,
  kDrainDatabase,
  kCutDatabase,    ///< Both ways silent.
  kCutAnswers,     ///< The database is not heard.
  kCutRequests,    ///< The database hears nothing.
  kResetDatabase,  ///< All its connections are reset, once.
  kLoseAnswers,    ///< Some of its connections lose an answer and all that follows.
  kDelayAnswers,   ///< Its answers come late, so that some come after their requests were given up.
  kRaiseLag,       ///< Replicas lag.
  kKillControlLeader,
  kFreezeControl,
  kCutControl,  ///< Nobody reaches control: no lease is renewed and no primary replaced.
  kPause,
};

/// How a transaction ends.
enum class End : std::uint8_t { kCommit, kRollback, kAbandon };

/// Database of a command that stands for the primary of the moment.
inline constexpr std::uint32_t kPrimary = 3;
inline constexpr std::uint32_t kCallers = 4;
/// Range of the proxies that commands name; a fleet with fewer of them counts round.
inline constexpr std::uint32_t kProxies = 6;

/// A step. Fields that its action does not need are ignored.
struct Command {
  Action action = Action::kPause;
  std::uint32_t before_ms = 0;    ///< Pause before the step.
  std::uint32_t caller = 0;       ///< 0 to kCallers - 1.
  std::uint32_t proxy = 0;        ///< 0 to kProxies - 1: where a request is sent, or what a fault hits.
  std::uint32_t database = 0;     ///< 0 to 2, or kPrimary.
  std::uint32_t row = 0;          ///< Row that a statement concerns.
  std::uint32_t statements = 1;   ///< Of a transaction.
  bool keyed = false;             ///< Writes and commits; for kAskOutcome: whether the key is settled.
  End end = End::kCommit;         ///< Of a transaction.
  std::uint32_t deadline_ms = 0;  ///< Of a request.
  std::uint32_t lasts_ms = 0;     ///< Of a fault, or the pause itself, at most 1500 ms.
};

/// True for requests of callers.
bool is_request(Action action);
/// One line that names the fields that matter.
std::string describe(const Command& command);
std::ostream& operator<<(std::ostream& out, const Command& command);

}  // namespace pipitpond::fuzz
