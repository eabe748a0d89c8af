#include "pooling/connection_share.hpp"

#include <algorithm>

namespace pipitpond::pooling {
namespace {

/// With an equal part of at least this many connections a daemon does not need to borrow.
constexpr std::uint32_t kMinEqualPart = 3;
/// Where connections are scarce, all daemons together keep this part of them idle: the inverse of the value.
constexpr std::uint32_t kScarceIdleDivisor = 2;
/// Where connections are scarce, one daemon holds at most this part of them: the inverse of the value.
constexpr std::uint32_t kScarceShareDivisor = 4;
/// Connections beyond those that run statements, for idle transactions.
constexpr std::uint32_t kIdleTransactionConnections = 2;
/// Fraction of all connections that may be kept idle. A database counts the connections of machines that lost
/// power for seconds; their successors need room beside them.
constexpr std::uint32_t kKeptNumerator = 2;
constexpr std::uint32_t kKeptDenominator = 3;
/// Statements per slot that all daemons together send to a database at once: one that runs, and one that is
/// ready when it ends. Others wait at the daemons, which know their priorities and deadlines.
constexpr std::uint32_t kStatementsPerSlot = 2;
/// Assumed time for which opening a connection occupies a slot.
constexpr core::Duration kOpeningTime = std::chrono::milliseconds(30);
/// Part of the slots' time that may go to connections opened ahead of demand: the inverse of the value.
constexpr int kWarmUpDivisor = 5;

/// One daemon's equal part of the statements that all daemons may run at once.
std::uint32_t equal_concurrency(const DatabaseCapacity& capacity, std::uint32_t daemon_count) {
  const std::uint32_t all = capacity.slots * kStatementsPerSlot;
  return std::max((all + daemon_count - 1) / daemon_count, 1U);
}

/// Relative weights of near and far owners, at a replica and at a primary; the other two are 1.
constexpr std::size_t kNearWeightAtReplica = 3;
constexpr std::size_t kFarWeightAtPrimary = 2;

std::size_t share_weight(bool is_near, bool primary) {
  if (primary) {
    return is_near ? 1 : kFarWeightAtPrimary;
  }
  return is_near ? kNearWeightAtReplica : 1;
}

}  // namespace

ConnectionShare tenant_share_of(const DatabaseCapacity& capacity, const OwnerPlace& place) {
  ConnectionShare share = share_of(capacity, place.owners);
  const std::size_t far_owners = place.owners - place.near_owners;
  const std::size_t all =
      place.near_owners * share_weight(true, place.primary) + far_owners * share_weight(false, place.primary);
  const std::size_t own = share_weight(place.is_near, place.primary);
  const auto smallest = static_cast<std::uint32_t>(capacity.connections / std::max<std::size_t>(all, 1));
  if (smallest < kMinEqualPart) {
    return share;
  }
  const auto part = static_cast<std::uint32_t>(capacity.connections * own / all);
  share.most = part;
  share.kept = std::max(part * kKeptNumerator / kKeptDenominator, 1U);
  share.warm_up_interval = core::Duration::zero();  // Only demand tells which tenant needs a connection.
  share.most_concurrency = std::min(share.most, std::max(capacity.slots * kStatementsPerSlot, 1U));
  share.first_concurrency = std::min(share.first_concurrency, share.most_concurrency);
  return share;
}

ConnectionShare share_of(const DatabaseCapacity& capacity, std::size_t daemons) {
  const auto daemon_count = static_cast<std::uint32_t>(std::max<std::size_t>(daemons, 1));
  const std::uint32_t equal_part = capacity.connections / daemon_count;
  ConnectionShare share;
  share.warm_up_interval = kOpeningTime * daemon_count * kWarmUpDivisor / std::max(capacity.slots, 1U);
  const std::uint32_t concurrency = equal_concurrency(capacity, daemon_count);
  if (equal_part >= kMinEqualPart) {
    const std::uint32_t idle_part = capacity.connections * kKeptNumerator / kKeptDenominator / daemon_count;
    share.kept = std::max(std::min(idle_part, concurrency + kIdleTransactionConnections), 1U);
    share.most = equal_part;
  } else {
    const std::uint32_t useful_connections = capacity.slots + kIdleTransactionConnections;
    const std::uint32_t single_daemon_limit = std::max(capacity.connections / kScarceShareDivisor, 1U);
    share.kept = capacity.connections / (kScarceIdleDivisor * daemon_count);
    share.most = std::min(capacity.connections,
                          std::max(equal_part, std::min(single_daemon_limit, useful_connections)));
  }
  // A single daemon may receive all statements, so its limit may grow to what all daemons may run together.
  const std::uint32_t alone = std::max(capacity.slots * kStatementsPerSlot, 1U);
  share.most_concurrency = std::min(share.most, alone);
  share.first_concurrency = std::min(concurrency, share.most_concurrency);
  return share;
}

}  // namespace pipitpond::pooling
