// What a whole day's worst seconds were lost to, from the logs of all processes: each statement that failed
// or came late is put down to one cause, so that the shares of a window add up. Reads one line after the
// other and keeps counts only, so that the logs of hundreds of processes need little memory.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "explain/log_record.hpp"

namespace pipitpond::explain {

/// What a statement was lost to.
enum class LossCause : std::uint8_t {
  kQuota,           ///< Its tenant had used up its quota, or no home of the quota answered.
  kKeyNotCertain,   ///< The daemon could not be sure of the keys.
  kDenied,          ///< Nobody holds the key, or no route serves the name.
  kNoRoom,          ///< No connection or slot came free, or the database was full.
  kReplicaBehind,   ///< Replicas lacked the position that it had to see.
  kPrimaryUnknown,  ///< There was no primary, or it was not certain who is.
  kAnswerLost,      ///< The connection broke, or no answer came in time.
  kDatabaseFailed,  ///< The database ran it and failed.
  kSlowAnswer,      ///< Answered after its goal: it waited in line at an owner or at the database.
  kUnknown,         ///< The lines name no cause.
};
inline constexpr std::size_t kLossCauses = 10;

/// Stable text of a cause.
const char* to_string(LossCause cause);

/// How often something was counted, by its name. Of many names only kMostNames are told apart.
using NameCounts = std::map<std::string, std::uint64_t>;

/// A stretch of kLossWindow.
struct LossWindow {
  std::array<std::uint64_t, kLossCauses> lost{};  ///< Statements by cause.
  NameCounts routes;                              ///< The lost ones by their route.
  NameCounts tenants;                             ///< The lost ones by their tenant, where it is logged.
  std::uint64_t started = 0;                      ///< Processes that started.

  [[nodiscard]] std::uint64_t total() const;
};

/// Length of a window.
inline constexpr std::chrono::milliseconds kLossWindow = std::chrono::seconds(2);
/// Names told apart in one window; further ones are counted together.
inline constexpr std::size_t kMostNames = 64;
/// Statements that are followed at one time while their lines come; the oldest is given up first.
inline constexpr std::size_t kMostFollowed = 20'000;

/// Counts a day's losses.
class DayAccount {
 public:
  /// Takes the next line of any process. Lines of one process must come in their order.
  void add(const LogRecord& record);

  /// By their begin.
  [[nodiscard]] const std::map<LogTime, LossWindow>& windows() const { return windows_; }
  /// Statements that were given up because too many were followed: their causes may be less exact.
  [[nodiscard]] std::uint64_t given_up() const { return given_up_; }

 private:
  /// What is known of a statement before its outcome.
  struct Followed {
    std::array<bool, kLossCauses> seen{};
    std::string tenant;
  };
  using Key = std::string;  ///< Process and request.

  static Key key_of(const LogRecord& record);
  Followed& follow(const LogRecord& record);
  void add_step(const LogRecord& record);
  void add_refusal(const LogRecord& record);
  void add_outcome(const LogRecord& record);
  LossWindow& window_of(const LogRecord& record);

  std::map<LogTime, LossWindow> windows_;
  std::unordered_map<Key, Followed> followed_;
  std::deque<Key> order_;  ///< Of followed_, the oldest first; may name ended ones.
  std::uint64_t given_up_ = 0;
};

/// The account as lines of text: the `most` windows that lost most, the worst first, with the share of each
/// cause.
std::string to_text(const DayAccount& account, std::size_t most);

}  // namespace pipitpond::explain
