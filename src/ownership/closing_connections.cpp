#include "ownership/closing_connections.hpp"

#include <algorithm>

namespace pipitpond::ownership {

void ClosingConnections::give_up(Id id, core::Instant now, bool acknowledged) {
  closing_.emplace(id, Closing{now, acknowledged, {}});
}

std::vector<ClosingConnections::Id> ClosingConnections::on_status(core::Instant asked_at, core::Instant now,
                                                                  std::uint32_t counted,
                                                                  std::uint32_t own_open) {
  bound_inherited(now, counted > own_open ? counted - own_open : 0);
  // A count that is greater tells how many are left, but not which: the end of another may be seen next.
  const bool none_is_counted = counted <= own_open;
  std::vector<Id> gone;
  for (auto& [id, closing] : closing_) {
    if (closing.given_up >= asked_at) {
      continue;
    }
    if (closing.answered_since == core::Instant()) {
      closing.answered_since = now;
    }
    const bool unseen_for_long = now - closing.answered_since >= kLongestUnseenClose;
    if (unseen_for_long || (closing.acknowledged && none_is_counted)) {
      gone.push_back(id);
    }
  }
  for (const Id id : gone) {
    closing_.erase(id);
  }
  return gone;
}

void ClosingConnections::bound_inherited(core::Instant now, std::uint32_t others) {
  if (!first_answer_) {
    first_answer_ = now;
    inherited_ = silent_ ? others : 0;
  }
  const bool answers_for_long = now - *first_answer_ >= kLongestUnseenClose;
  inherited_ = answers_for_long ? 0 : std::min(inherited_, others);
}

std::uint32_t ClosingConnections::count_recent(core::Instant now) const {
  return static_cast<std::uint32_t>(std::count_if(closing_.begin(), closing_.end(), [now](const auto& one) {
    return now - one.second.given_up < kLongestUnseenClose;
  }));
}

}  // namespace pipitpond::ownership
