#include "pooling/connection_share.hpp"

#include <algorithm>

namespace pipitpond::pooling {
namespace {

/// An equal part of this many connections serves a daemon without borrowing.
constexpr std::uint32_t kEnoughConnections = 3;
/// One part in so many of all connections is kept idle where they are scarce.
constexpr std::uint32_t kKeptPart = 2;
/// One daemon holds at most one part in so many of scarce connections.
constexpr std::uint32_t kMostPart = 4;
/// Beyond one connection for each slot, only resting transactions need more.
constexpr std::uint32_t kForRestingTransactions = 2;
/// Of all connections, this part may be kept idle: numerator and denominator. A database counts the
/// connections of machines that lost power for seconds; their successors need room beside them.
constexpr std::uint32_t kKeptNumerator = 2;
constexpr std::uint32_t kKeptDenominator = 3;
/// What a new connection is taken to cost: a slot for this long.
constexpr core::Duration kOpeningTime = std::chrono::milliseconds(30);
/// One part in so many of the slots' time may go to connections opened ahead of demand.
constexpr int kWarmUpPart = 5;

}  // namespace

ConnectionShare share_of(const DatabaseCapacity& capacity, std::size_t daemons) {
  const auto sharers = static_cast<std::uint32_t>(std::max<std::size_t>(daemons, 1));
  const std::uint32_t equal_part = capacity.connections / sharers;
  ConnectionShare share;
  share.warm_up_interval = kOpeningTime * sharers * kWarmUpPart / std::max(capacity.slots, 1U);
  if (equal_part >= kEnoughConnections) {
    share.kept = std::max(capacity.connections * kKeptNumerator / kKeptDenominator / sharers, 1U);
    share.most = equal_part;
    return share;
  }
  const std::uint32_t useful = capacity.slots + kForRestingTransactions;
  const std::uint32_t fair = std::max(capacity.connections / kMostPart, 1U);
  share.kept = capacity.connections / (kKeptPart * sharers);
  share.most = std::min(capacity.connections, std::max(equal_part, std::min(fair, useful)));
  return share;
}

}  // namespace pipitpond::pooling
