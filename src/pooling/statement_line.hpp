// The order of those who wait for one database's connections at one of its owners. No input or output.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace pipitpond::pooling {

/// Names one that waits. Later ones have higher numbers.
using WaiterNumber = std::uint64_t;

/// More do not wait for each slot of the database: it takes 1 s to run so many usual statements of 10 ms, and
/// an answer that comes later than that is late for nearly all routes.
inline constexpr std::size_t kMostWaitingForEachSlot = 100;

/// One that waits.
struct LineEntry {
  WaiterNumber number = 0;
  std::uint32_t priority = 0;  ///< 0 goes first.
  core::Instant goal = core::Instant::max();
  std::optional<core::TenantName> tenant;  ///< Nothing, or an empty name: belongs to none.
  /// Since when it has waited, here and elsewhere. A statement that goes from owner to owner would else begin
  /// at the end of each one's line and never reach its head, while an owner's own callers keep their places.
  core::Instant since{};
};

/// What came of joining the line.
struct JoinOutcome {
  bool joined = true;
  std::optional<WaiterNumber> displaced;  ///< It has left the line to the new one and is to be told at once.
};

/// Who can still be in time goes first, then by priority, then by tenants' use of slot time, then by how long
/// they have waited.
///
/// Between tenants: start-time fair queueing with equal weights. A tenant's next statement starts, in virtual
/// time, when what the tenant has used so far ends, but not before the latest start of anybody's: what was
/// not used is not saved up. A tenant that floods the line waits for its own statements, not others for them.
class StatementLine {
 public:
  /// Adds the entry at most `most` wait; a full line loses the one that goes last, which may be the new one.
  /// `usual` is the time of a usual statement.
  JoinOutcome join(core::Instant now, LineEntry entry, std::size_t most, core::Duration usual);
  /// Takes out the one that goes next of those for whom `can_be_served` holds.
  std::optional<WaiterNumber> take_next(core::Instant now, core::Duration usual,
                                        const std::function<bool(const LineEntry&)>& can_be_served);
  /// It has stopped waiting. No effect when it does not wait.
  void remove(WaiterNumber number);
  /// A statement of the tenant starts and is expected to take `usual` of a slot.
  void note_started(const std::optional<core::TenantName>& tenant, core::Duration usual);
  /// The tenant has used a slot for so much longer than was noted at the start; negative: shorter.
  void note_used(const std::optional<core::TenantName>& tenant, core::Duration difference);

  void clear() { entries_.clear(); }

  /// Those who wait, the one that goes first at the front.
  [[nodiscard]] std::vector<LineEntry> in_order(core::Instant now, core::Duration usual) const;
  [[nodiscard]] std::size_t size() const { return entries_.size(); }
  [[nodiscard]] bool empty() const { return entries_.empty(); }
  [[nodiscard]] std::size_t tenants() const { return used_until_.size(); }

 private:
  /// Who has the smaller one goes first.
  struct Place {
    bool late = false;
    std::uint32_t priority = 0;
    core::Duration start{};
    core::Instant since{};
    WaiterNumber number = 0;

    auto operator<=>(const Place&) const = default;
  };

  [[nodiscard]] core::Duration start_of(const std::optional<core::TenantName>& tenant) const;
  /// Places of all entries, in their order: a tenant's later ones start after its earlier ones of the same
  /// priority.
  [[nodiscard]] std::vector<Place> places(core::Instant now, core::Duration usual) const;
  void forget_caught_up();

  std::vector<LineEntry> entries_;  ///< Who has waited longest first.
  core::Duration virtual_time_{};
  /// In virtual time, of tenants that have used more than others; the rest begins at virtual_time_.
  std::map<core::TenantName, core::Duration> used_until_;
};

}  // namespace pipitpond::pooling
