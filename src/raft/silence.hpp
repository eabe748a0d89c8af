// How long members of control have been silent, over changes of leader.
//
// Only a leader hears the others. A count that each new leader begins anew never ends while leaders change
// more often than it lasts, so that machines that are gone for good stay voters and add up to a majority.
// Therefore a leader tells its followers whom it does not hear and for how long, and whoever leads next
// counts on from there.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace pipitpond::raft {

/// A member that the sender of an append does not hear.
struct SilentMember {
  core::ControlId id;
  std::uint32_t silent_ms = 0;

  MSGPACK_DEFINE(id, silent_ms);
};

/// What a replica knows from the reigns of others and from its own earlier ones. The time that a message
/// takes makes a silence look shorter; a member that fell silent after the last word of a leader passes for
/// silent since that word.
class EarlierSilence {
 public:
  /// Nothing is known of the time before `start`.
  explicit EarlierSilence(core::Instant start) : told_at_(start) {}

  /// At `now` a leader heard all but these.
  void note(core::Instant now, const std::vector<SilentMember>& silent) {
    told_at_ = now;
    silent_since_.clear();
    for (const auto& member : silent) {
      silent_since_[member.id] = now - std::chrono::milliseconds(member.silent_ms);
    }
  }

  /// When a leader heard this member for the last time, as far as known.
  [[nodiscard]] core::Instant last_heard(const core::ControlId& id) const {
    const auto silent = silent_since_.find(id);
    return silent == silent_since_.end() ? told_at_ : silent->second;
  }

 private:
  core::Instant told_at_;
  std::map<core::ControlId, core::Instant> silent_since_;
};

}  // namespace pipitpond::raft
