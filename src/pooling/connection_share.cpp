#include "pooling/connection_share.hpp"

#include <algorithm>

namespace pipitpond::pooling {
namespace {

/// With an equal part of at least this many connections a daemon does not need to borrow.
constexpr std::uint32_t kEnoughConnections = 3;
/// Where connections are scarce, all daemons together keep this part of them idle: the inverse of the value.
constexpr std::uint32_t kKeptPart = 2;
/// Where connections are scarce, one daemon holds at most this part of them: the inverse of the value.
constexpr std::uint32_t kMostPart = 4;
/// Connections beyond those that run statements, for idle transactions.
constexpr std::uint32_t kForRestingTransactions = 2;
/// Fraction of all connections that may be kept idle. A database counts the connections of machines that lost
/// power for seconds; their successors need room beside them.
constexpr std::uint32_t kKeptNumerator = 2;
constexpr std::uint32_t kKeptDenominator = 3;
/// Statements per slot that all daemons together send to a database at once: one that runs, and one that is
/// ready when it ends. Others wait at the daemons, which know their priorities and deadlines.
constexpr std::uint32_t kStatementsForEachSlot = 2;
/// Assumed time for which opening a connection occupies a slot.
constexpr core::Duration kOpeningTime = std::chrono::milliseconds(30);
/// Part of the slots' time that may go to connections opened ahead of demand: the inverse of the value.
constexpr int kWarmUpPart = 5;

/// One daemon's equal part of the statements that all daemons may run at once.
std::uint32_t equal_concurrency(const DatabaseCapacity& capacity, std::uint32_t sharers) {
  const std::uint32_t all = capacity.slots * kStatementsForEachSlot;
  return std::max((all + sharers - 1) / sharers, 1U);
}

/// Relative weights of near and far owners, at a replica and at a primary; the other two are 1.
constexpr std::size_t kNearPartsAtReplica = 3;
constexpr std::size_t kFarPartsAtPrimary = 2;

std::size_t parts_of(bool is_near, bool primary) {
  if (primary) {
    return is_near ? 1 : kFarPartsAtPrimary;
  }
  return is_near ? kNearPartsAtReplica : 1;
}

}  // namespace

ConnectionShare tenants_share_of(const DatabaseCapacity& capacity, const OwnerPlace& place) {
  ConnectionShare share = share_of(capacity, place.owners);
  const std::size_t far_owners = place.owners - place.near_owners;
  const std::size_t all =
      place.near_owners * parts_of(true, place.primary) + far_owners * parts_of(false, place.primary);
  const std::size_t own = parts_of(place.is_near, place.primary);
  const auto smallest = static_cast<std::uint32_t>(capacity.connections / std::max<std::size_t>(all, 1));
  if (smallest < kEnoughConnections) {
    return share;
  }
  const auto part = static_cast<std::uint32_t>(capacity.connections * own / all);
  share.most = part;
  share.kept = std::max(part * kKeptNumerator / kKeptDenominator, 1U);
  share.warm_up_interval = core::Duration::zero();  // Only demand tells which tenant needs a connection.
  share.most_concurrency = std::min(share.most, std::max(capacity.slots * kStatementsForEachSlot, 1U));
  share.first_concurrency = std::min(share.first_concurrency, share.most_concurrency);
  return share;
}

ConnectionShare share_of(const DatabaseCapacity& capacity, std::size_t daemons) {
  const auto sharers = static_cast<std::uint32_t>(std::max<std::size_t>(daemons, 1));
  const std::uint32_t equal_part = capacity.connections / sharers;
  ConnectionShare share;
  share.warm_up_interval = kOpeningTime * sharers * kWarmUpPart / std::max(capacity.slots, 1U);
  const std::uint32_t concurrency = equal_concurrency(capacity, sharers);
  if (equal_part >= kEnoughConnections) {
    const std::uint32_t fitting = capacity.connections * kKeptNumerator / kKeptDenominator / sharers;
    share.kept = std::max(std::min(fitting, concurrency + kForRestingTransactions), 1U);
    share.most = equal_part;
  } else {
    const std::uint32_t useful = capacity.slots + kForRestingTransactions;
    const std::uint32_t fair = std::max(capacity.connections / kMostPart, 1U);
    share.kept = capacity.connections / (kKeptPart * sharers);
    share.most = std::min(capacity.connections, std::max(equal_part, std::min(fair, useful)));
  }
  // A single daemon may receive all statements, so its limit may grow to what all daemons may run together.
  const std::uint32_t alone = std::max(capacity.slots * kStatementsForEachSlot, 1U);
  share.most_concurrency = std::min(share.most, alone);
  share.first_concurrency = std::min(concurrency, share.most_concurrency);
  return share;
}

}  // namespace pipitpond::pooling
