// Computes how many of a database's connections one daemon may hold. All daemons divide the database's limit
// without asking each other. Performs no I/O.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/clock.hpp"

namespace pipitpond::pooling {

/// The capacity of a database for all daemons together.
struct DatabaseCapacity {
  std::uint32_t connections = 0;  ///< Limit on connections from daemons.
  std::uint32_t slots = 0;        ///< Statements and connection openings that it processes at once.
};

/// One daemon's part of a database's capacity.
struct ConnectionShare {
  std::uint32_t kept = 0;  ///< Connections that may stay open while idle.
  std::uint32_t most = 0;  ///< Connections that may be held at once; those beyond `kept` are borrowed and
                           ///< closed soon after their use.
  /// Interval between connections opened ahead of demand, limited because each takes a slot from statements.
  /// Zero: none is opened ahead.
  core::Duration warm_up_interval{};
  /// Initial and highest limit on this daemon's concurrent statements outside transactions.
  std::uint32_t first_concurrency = 1;
  std::uint32_t most_concurrency = 1;

  bool operator==(const ConnectionShare&) const = default;
};

/// The share of one of the `daemons` (at least 1) that own connections to a database.
///
/// Where an equal part is enough for a daemon's statements, the daemon may hold that part and keeps of it
/// what the database's slots can use. Where it is not, idle connections must not be hoarded: each daemon
/// keeps less than its part and borrows from the rest while it needs more. The sum may then exceed the
/// database's limit briefly; the database refuses the excess, and the daemon waits.
ConnectionShare share_of(const DatabaseCapacity& capacity, std::size_t daemons);

/// An owner's position among the owners of a database.
struct OwnerPlace {
  std::size_t owners = 1;       ///< Number of owners.
  std::size_t near_owners = 1;  ///< Owners in the database's zone.
  bool is_near = true;
  bool primary = false;  ///< The database is its group's primary: callers of all zones need it.
};

/// The share where each connection belongs to a tenant, so that each one held counts. Reads stay in a
/// replica's zone, so its near owners serve nearly all of them and get three times the part of far ones. A
/// primary's statements come from all zones, through fewer owners in each of the other zones; these get twice
/// the part of near ones. With equal parts, half of a replica's connections would belong to owners that the
/// callers of its zone do not use.
ConnectionShare tenant_share_of(const DatabaseCapacity& capacity, const OwnerPlace& place);

}  // namespace pipitpond::pooling
