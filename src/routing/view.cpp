#include "routing/view.hpp"

#include <algorithm>

namespace pipitpond::routing {

bool usable(const ReplicaView& view) {
  return view.reachable && !view.leaving && !view.draining;
}

bool reaches_majority(const GroupView& group) {
  const auto lost =
      std::count_if(group.databases.begin(), group.databases.end(), [](const ReplicaView& view) {
        const bool was_seen = view.seen_at != core::Instant();
        return was_seen && !view.reachable;
      });
  return 2 * static_cast<std::size_t>(lost) < group.databases.size();
}

}  // namespace pipitpond::routing
