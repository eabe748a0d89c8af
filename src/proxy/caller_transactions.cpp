#include "proxy/caller_transactions.hpp"

#include <algorithm>

namespace pipitpond::proxy {

void CallerTransactions::begin(const core::TransactionId& id, core::Instant now) {
  if (last_used_.size() < kMaxFollowedTransactions) {
    last_used_[id] = now;
  }
}

void CallerTransactions::use(const core::TransactionId& id, core::Instant now) {
  const auto found = last_used_.find(id);
  if (found != last_used_.end()) {
    found->second = now;
  }
}

void CallerTransactions::forget_unused(core::Instant before) {
  std::erase_if(last_used_, [before](const auto& entry) { return entry.second < before; });
}

std::size_t CallerTransactions::used_since(core::Instant since) const {
  return static_cast<std::size_t>(std::count_if(
      last_used_.begin(), last_used_.end(), [since](const auto& entry) { return entry.second >= since; }));
}

}  // namespace pipitpond::proxy
