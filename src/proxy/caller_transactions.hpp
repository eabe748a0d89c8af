// Transactions that callers began through this daemon, wherever they run. A planned stop waits for them: the
// owner counts only those whose connection it holds.
#pragma once

#include <cstddef>
#include <unordered_map>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace pipitpond::proxy {

/// Transactions that are followed at most; a stop does not wait for those beyond it.
inline constexpr std::size_t kMaxFollowedTransactions = 10'000;

/// Those that callers leave open are forgotten by `forget_unused`.
class CallerTransactions {
 public:
  /// A transaction began.
  void begin(const core::TransactionId& id, core::Instant now);
  /// A request names it. Those that began through another daemon are not followed.
  void use(const core::TransactionId& id, core::Instant now);
  /// It was committed, rolled back, or is not known to its owner any more.
  void end(const core::TransactionId& id) { last_used_.erase(id); }
  /// Forgets those that nobody used since `before`: their callers went on elsewhere or are gone.
  void forget_unused(core::Instant before);

  /// Number of those that are not known to have ended and were used since `since`.
  [[nodiscard]] std::size_t used_since(core::Instant since) const;

 private:
  std::unordered_map<core::TransactionId, core::Instant> last_used_;
};

}  // namespace pipitpond::proxy
