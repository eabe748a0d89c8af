// Tracks across leader changes how long members have been silent, that is, have not answered the leader.
//
// Only a leader receives replies from the other members. If each new leader started to measure from zero,
// frequent leader changes would keep any member from reaching the removal time, and permanently lost machines
// could add up to a majority of the voters. Therefore each leader reports the silent members and the lengths
// of their silence to its followers, and the next leader continues from the last report.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace pipitpond::raft {

/// A member that does not answer the leader.
struct SilentMember {
  core::ControlId id;
  std::uint32_t silent_ms = 0;

  MSGPACK_DEFINE(id, silent_ms);
};

/// The last report about silent members that a replica has received, or made when it stepped down as leader.
/// Message delay makes a silence look shorter. A member that fell silent after the last report counts as
/// silent since that report.
class ReportedContacts {
 public:
  /// Until the first report, all members count as last contacted at `start`.
  explicit ReportedContacts(core::Instant start) : reported_at_(start) {}

  /// Records the report of a leader that at `now` receives replies from all members but `silent`.
  void update(core::Instant now, const std::vector<SilentMember>& silent) {
    reported_at_ = now;
    silent_since_.clear();
    for (const auto& member : silent) {
      silent_since_[member.id] = now - std::chrono::milliseconds(member.silent_ms);
    }
  }

  /// When a leader last received a reply from this member, as far as known.
  [[nodiscard]] core::Instant last_contact_of(const core::ControlId& id) const {
    const auto silent = silent_since_.find(id);
    return silent == silent_since_.end() ? reported_at_ : silent->second;
  }

 private:
  core::Instant reported_at_;
  std::map<core::ControlId, core::Instant> silent_since_;
};

}  // namespace pipitpond::raft
