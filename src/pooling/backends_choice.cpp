// Chooses the database for a statement and acquires the connection to run it on.
#include <algorithm>
#include <tuple>
#include <utility>

#include "ownership/owner_choice.hpp"
#include "pooling/backends.hpp"

namespace pipitpond::pooling {

std::optional<BackendChoice> Backends::choose(const core::GroupName& group, const BackendRequirement& need,
                                              core::Instant now) const {
  const GroupView* view = find(group);
  if (view == nullptr) {
    return std::nullopt;
  }
  if (!need.primary && need.after) {
    if (auto chosen = choose_for_read(*view, need, now)) {
      return chosen;
    }
  }
  return choose_primary(*view, need, now);
}

std::optional<BackendChoice> Backends::choose_primary(const GroupView& view, const BackendRequirement& need,
                                                      core::Instant now) const {
  const auto primary = view.members.find(view.primary);
  if (primary == view.members.end() || need.avoided.contains(view.primary)) {
    return std::nullopt;
  }
  const BackendPool& pool = *primary->second.pool;
  if (!pool.health().usable() && !other_owners_reachable(pool, now)) {
    return std::nullopt;
  }
  return BackendChoice{primary->second.pool, true, view.term, view.reached};
}

bool Backends::other_owners_reachable(const BackendPool& pool, core::Instant now) const {
  const core::DatabaseId& database = pool.address().database;
  return forwarder_.reaches(agent_.owner_table().owners(database), database, now);
}

/// True when statements must go through another owner: this daemon owns no connections to the database, or
/// has none and can't open one now, because it is partitioned from the database or because the database still
/// counts connections of lost machines against its limit.
bool Backends::should_forward(const BackendPool& pool, core::Instant now) const {
  const bool serves_itself = owns(agent_.owner_table().owners(pool.address().database)) && pool.can_serve();
  return !serves_itself && other_owners_reachable(pool, now);
}

/// Statements of one tenant are directed to the same owner nearby, also those that arrive at other owners.
bool Backends::prefers_another_owner(const BackendPool& pool, const ConnectionRequest& request,
                                     core::Instant now) const {
  if (!request.tenant || request.tenant->empty()) {
    return false;
  }
  const std::vector<core::DaemonId>& owners = agent_.owner_table().owners(pool.address().database);
  return forwarder_.prefers_other_owner(owners, pool, *request.tenant, now);
}

std::optional<BackendChoice> Backends::choose_for_read(const GroupView& view, const BackendRequirement& need,
                                                       core::Instant now) const {
  std::shared_ptr<BackendPool> best;
  core::Duration least{};
  std::uint64_t best_preference = 0;
  for (const auto& [id, member] : view.members) {
    const BackendPool& pool = *member.pool;
    const bool is_primary = id == view.primary;
    const bool ends = !is_primary && (member.draining || member.departed);
    const bool serves = !ends && pool.health().usable() && pool.share().most > 0 &&
                        (is_primary || pool.reach().may_reach(now, *need.after)) &&
                        !need.avoided.contains(id);
    if (!serves) {
      continue;
    }
    const core::Duration expected = cost(pool) + (is_primary ? kPrimaryReadCost : core::Duration::zero());
    // Breaks ties differently on each daemon. Otherwise all would read at the first database in order.
    const std::uint64_t preference = ownership::weight_of(self_, id);
    if (best == nullptr || std::tie(expected, preference) < std::tie(least, best_preference)) {
      best = member.pool;
      least = expected;
      best_preference = preference;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  const bool is_primary = best->address().database == view.primary;
  return BackendChoice{std::move(best), is_primary, view.term, view.reached};
}

core::Duration Backends::cost(const BackendPool& pool) const {
  return pool.expected_wait() + (pool.zone() == zone_ ? core::Duration::zero() : kCrossZoneCost);
}

boost::asio::awaitable<core::Result<std::unique_ptr<StatementLease>>> Backends::acquire(
    BackendChoice choice, ConnectionRequest request) {
  const core::Instant now = core::BootClock::now();
  if (should_forward(*choice.pool, now) || prefers_another_owner(*choice.pool, request, now)) {
    const core::DatabaseId& database = choice.pool->address().database;
    co_return forwarder_.lease(choice.pool, agent_.owner_table().owners(database), request);
  }
  auto lease = co_await BackendPool::acquire(choice.pool, request);
  if (!lease) {
    co_return lease.error();
  }
  std::unique_ptr<StatementLease> own = std::make_unique<ConnectionLease>(std::move(lease.value()));
  co_return own;
}

}  // namespace pipitpond::pooling
