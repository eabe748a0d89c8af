// The rule by which a database's owners are chosen among candidates.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/ids.hpp"
#include "protocol/configuration.hpp"

namespace pipitpond::ownership {

/// A live daemon that may own a database. Points into the caller's tables.
struct Candidate {
  const core::DaemonId* daemon = nullptr;
  const core::ZoneName* zone = nullptr;
  std::uint64_t weight = 0;  ///< For the database in question; see weigh.
};

/// Owners that a database has when enough daemons live.
std::size_t owner_count(std::uint32_t slots, std::uint32_t connection_limit, std::uint32_t max_owners);

/// A daemon's weight for a database.
std::uint64_t weight_of(const core::DaemonId& daemon, const core::DatabaseId& database);

/// A daemon's weight for another one that has to choose among several: the choices of different daemons
/// differ.
std::uint64_t weight_of(const core::DaemonId& chooser, const core::DaemonId& daemon);

/// A daemon's and a zone's weight for a tenant.
std::uint64_t weight_of(const core::TenantName& tenant, const core::DaemonId& daemon);
std::uint64_t weight_of(const core::TenantName& tenant, const core::ZoneName& zone);

/// Sets each candidate's weight for the database. It depends on nothing but the daemon and the database, so
/// that the departure of another daemon changes no order among the rest.
void weigh(std::vector<Candidate>& candidates, const core::DatabaseId& database);

/// How many owners shall be in the database's own zone.
std::size_t near_owner_count(std::size_t count);

/// Owners among weighed candidates, in order of preference: half of them from the database's zone, the rest
/// from zones without an owner yet, the gaps from anywhere; the heaviest first in each step. Leaving out a
/// candidate that is not chosen changes nothing, so owners and newcomers are candidates enough once the
/// owners are known.
std::vector<core::DaemonId> choose(const std::vector<Candidate>& candidates, const core::ZoneName& zone,
                                   std::size_t count);

}  // namespace pipitpond::ownership
