// What a policy decides about one request.
#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "core/ids.hpp"
#include "core/outcome.hpp"

namespace pipitpond::policy {

/// Where reads go first.
enum class ReadTarget : std::uint8_t {
  kReplica,  ///< Replicas, nearest zone first.
  kPrimary,  ///< The primary only.
  kNearest,  ///< Any database, nearest zone first.
};

/// What to do when no database of the target is fresh enough.
enum class Fallback : std::uint8_t { kPrimary, kNone };

/// Names in policies and answers, in the order of the values.
inline constexpr std::array kReadTargetNames = {"replica", "primary", "nearest"};
inline constexpr std::array kFallbackNames = {"primary", "none"};

inline const char* to_string(ReadTarget target) {
  return kReadTargetNames.at(static_cast<std::size_t>(target));
}
inline const char* to_string(Fallback fallback) {
  return kFallbackNames.at(static_cast<std::size_t>(fallback));
}

/// Largest values that a policy may return.
inline constexpr std::uint32_t kMaxStalenessMs = 3'600'000;
inline constexpr std::uint32_t kMaxWaitMs = 10'000;
inline constexpr std::uint32_t kMaxAttempts = 10;

/// Where a read may be served. The default is the safe choice.
struct ReadRule {
  ReadTarget target = ReadTarget::kPrimary;
  /// Replicas estimated to be further behind are not used; empty: only the session's position counts.
  std::optional<std::uint32_t> max_staleness_ms;
  std::uint32_t wait_ms = 0;  ///< How long a read may wait for a replica to reach the session's position.
  Fallback fallback = Fallback::kPrimary;

  bool operator==(const ReadRule&) const = default;
};

/// Which attempts may follow a failed one. The default is the safe choice: none.
struct RetryRule {
  std::uint32_t attempts = 1;      ///< Attempts in all, the first included.
  bool repeatable_writes = false;  ///< Whether writes that the caller calls repeatable may be sent again.

  bool operator==(const RetryRule&) const = default;
};

/// Rules of a policy that lacks the function in question, and of the built-in policy.
inline constexpr std::uint32_t kDefaultWaitMs = 30;
inline constexpr std::uint32_t kDefaultAttempts = 3;
inline constexpr ReadRule kDefaultReadRule{ReadTarget::kReplica, std::nullopt, kDefaultWaitMs,
                                           Fallback::kPrimary};
inline constexpr RetryRule kDefaultRetryRule{kDefaultAttempts, true};

/// What a policy may look at.
struct RequestFacts {
  core::GroupName group;
  core::TenantName tenant;
  core::ZoneName zone;  ///< Zone of the proxy.
  core::StatementKind kind = core::StatementKind::kRead;
  bool has_session = false;  ///< The session has touched this group before.
  core::RequestKey key;      ///< Empty: none.
  bool repeatable = false;
};

}  // namespace pipitpond::policy
