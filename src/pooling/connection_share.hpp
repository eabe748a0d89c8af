// How many of a database's connections one daemon may hold. All daemons share what the database takes; none
// asks the others. No input or output.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/clock.hpp"

namespace pipitpond::pooling {

/// What a database offers to all daemons together.
struct DatabaseCapacity {
  std::uint32_t connections = 0;  ///< That it takes from daemons.
  std::uint32_t slots = 0;        ///< Statements and openings of connections that it runs at once.
};

/// One daemon's part of it.
struct ConnectionShare {
  std::uint32_t kept = 0;  ///< May stay open while idle.
  std::uint32_t most = 0;  ///< May be held at once; those beyond `kept` are closed soon after their use.
  /// Between connections that are opened ahead of demand: the database's slots are for statements. Zero: none
  /// is.
  core::Duration warm_up_interval{};
  /// Statements outside transactions that this daemon lets the database run at once: at first, and at most.
  std::uint32_t first_concurrency = 1;
  std::uint32_t most_concurrency = 1;

  bool operator==(const ConnectionShare&) const = default;
};

/// The share of one of the `daemons` that own connections (at least 1).
///
/// Where an equal part is enough for a daemon's statements, it may hold that part, and keeps of it what the
/// database's slots can use. Where it is not, most daemons must not sit on idle connections: each keeps less
/// than its part and borrows from the rest while it needs more. The sum may then exceed the database's limit
/// for a moment; the database refuses what is over it, and the daemon waits.
ConnectionShare share_of(const DatabaseCapacity& capacity, std::size_t daemons);

/// Where an owner stands among a database's owners.
struct OwnerPlace {
  std::size_t owners = 1;       ///< All of them.
  std::size_t near_owners = 1;  ///< Those in the database's zone.
  bool is_near = true;
  bool primary = false;  ///< The database leads its group: callers of all zones need it.
};

/// The share where connections belong to tenants, so that each one held counts. Reads stay in the zone of a
/// replica, so that its near owners serve nearly all of them: they get three times the part of the others. A
/// primary's statements come from all zones, to fewer owners in each of the others: those get twice the part
/// of the near ones. With equal parts, half of a replica's connections would belong to owners that its zone's
/// callers pass by.
ConnectionShare tenants_share_of(const DatabaseCapacity& capacity, const OwnerPlace& place);

}  // namespace pipitpond::pooling
