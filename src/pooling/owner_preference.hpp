// Which of a database's owners a statement is best offered to. No input or output.
#pragma once

#include <compare>
#include <cstdint>

#include "core/ids.hpp"

namespace pipitpond::pooling {

/// What is known of an owner.
struct OwnerCandidate {
  const core::DaemonId* daemon = nullptr;
  const core::ZoneName* zone = nullptr;
  std::uint32_t outstanding = 0;  ///< Statements that it has from this daemon.
  /// Orders owners that are alike, differently for each daemon that asks.
  std::uint64_t preference = 0;
};

/// For whom, and from where to where.
struct OwnerQuery {
  const core::TenantName& tenant;  ///< Empty: nobody in particular.
  const core::ZoneName& from;
  const core::ZoneName& database;
};

/// Orders owners: the least is the best.
struct OwnerRank {
  int distance = 0;
  std::uint32_t load = 0;
  std::uint64_t preference = 0;

  auto operator<=>(const OwnerRank&) const = default;
};

/// Statements that the owner of a tenant's choice may have from one daemon before the next one is as good. A
/// new connection takes 12 ms and a slot; one more statement in the queue takes a part of a usual statement's
/// time.
inline constexpr std::uint32_t kOutstandingForTenant = 4;

/// Near owners go first, for the way crosses zones once at most by an owner in either end's zone.
///
/// A connection carries one tenant's statements. All daemons choose the same owner for a tenant, so that its
/// few connections there live on: with 84 tenants, 8 owners of 6 connections and each daemon's own choice,
/// 85% of the requests opened a connection, 64% so. Without a tenant each daemon prefers another owner, so
/// that all share the work: in the owners' own order the daemons of a zone would all ask the same one.
OwnerRank rank(const OwnerCandidate& owner, const OwnerQuery& question);

}  // namespace pipitpond::pooling
