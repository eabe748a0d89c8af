// Queue of the statements that wait for a connection to one database at one of its owners. Performs no I/O.
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

/// Identifies a waiting statement. Numbers increase in the order of creation.
using WaiterNumber = std::uint64_t;

/// Maximum number of waiting statements per slot of the database: running that many statements of 10 ms takes
/// 1 s, and a later reply is late for nearly all routes.
inline constexpr std::size_t kMaxWaitingPerSlot = 100;

/// A waiting statement.
struct QueueEntry {
  WaiterNumber number = 0;
  std::uint32_t priority = 0;  ///< 0 is the highest priority.
  core::Instant goal = core::Instant::max();
  std::optional<core::TenantName> tenant;  ///< nullopt or an empty name: none.
  /// When the statement began to wait, here or at another owner. If this were reset at each owner, a
  /// statement that is passed between owners would start at the end of each queue and never reach its head,
  /// while statements of the owner's own callers keep their places.
  core::Instant since{};
};

/// The result of adding a statement to the queue.
struct EnqueueOutcome {
  bool accepted = true;
  std::optional<WaiterNumber> displaced;  ///< A statement that was removed to make room for the new one; its
                                          ///< caller must be told at once.
};

/// Orders statements by whether they can still meet their goal, then by priority, then by their tenants' use
/// of slot time, then by how long they have waited.
///
/// Tenants share by start-time fair queueing with equal weights. In virtual time, a tenant's next statement
/// starts when the time that the tenant has used so far ends, but not before the latest start of any tenant:
/// unused time is not saved up. A tenant that floods the queue delays its own statements, not those of
/// others.
class StatementQueue {
 public:
  /// Adds the entry. If more than `max_waiting` statements then wait, the last in order is removed, which may
  /// be the new one. `average_time` is the average time of a statement.
  EnqueueOutcome enqueue(core::Instant now, QueueEntry entry, std::size_t max_waiting,
                         core::Duration average_time);
  /// Removes the first statement in order for which `can_be_served` holds, and returns its number.
  std::optional<WaiterNumber> take_next(core::Instant now, core::Duration average_time,
                                        const std::function<bool(const QueueEntry&)>& can_be_served);
  /// Removes a statement that has stopped waiting. No effect when it is not in the queue.
  void remove(WaiterNumber number);
  /// Charges the tenant for a statement that starts and is expected to take a slot for `average_time`.
  void note_started(const std::optional<core::TenantName>& tenant, core::Duration average_time);
  /// Charges the tenant for `difference`, the slot time beyond what was charged at the start; negative: less.
  void note_used(const std::optional<core::TenantName>& tenant, core::Duration difference);

  void clear() { entries_.clear(); }

  /// The waiting statements, the next one first.
  [[nodiscard]] std::vector<QueueEntry> in_order(core::Instant now, core::Duration average_time) const;
  [[nodiscard]] std::size_t size() const { return entries_.size(); }
  [[nodiscard]] bool empty() const { return entries_.empty(); }
  [[nodiscard]] std::size_t tenants() const { return used_until_.size(); }

 private:
  /// Sort key of a waiting statement; the lowest goes first.
  struct SortKey {
    bool late = false;
    std::uint32_t priority = 0;
    core::Duration start{};
    core::Instant since{};
    WaiterNumber number = 0;

    auto operator<=>(const SortKey&) const = default;
  };

  [[nodiscard]] core::Duration start_of(const std::optional<core::TenantName>& tenant) const;
  /// Sort keys of all entries, in the order of `entries_`. Of a tenant's entries with the same priority,
  /// later ones start after earlier ones.
  [[nodiscard]] std::vector<SortKey> sort_keys(core::Instant now, core::Duration average_time) const;
  void drop_caught_up_tenants();

  std::vector<QueueEntry> entries_;  ///< In the order of `since`.
  core::Duration virtual_time_{};
  /// Virtual time until which each tenant has used its share, for tenants that are ahead of virtual_time_;
  /// all others start at virtual_time_.
  std::map<core::TenantName, core::Duration> used_until_;
};

}  // namespace pipitpond::pooling
