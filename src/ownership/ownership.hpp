// Which daemons own a database, and each owner's share of its connections and slots. Pure functions of the
// configuration, so that every daemon computes the same answer for the same revision.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/ids.hpp"
#include "protocol/configuration.hpp"

namespace pipitpond::ownership {

/// Connections and statements at a time that one daemon may use on one database.
struct Budget {
  std::uint32_t connections = 0;
  std::uint32_t slots = 0;

  bool operator==(const Budget&) const = default;
};

/// Owners of a database, in order of preference: by rendezvous hashing over the live daemons, half of them
/// from the database's zone, the others from as many other zones as possible. At most kOwnersPerDatabase
/// and never more than the database has slots or connections. Empty for an unknown database.
std::vector<core::DaemonId> owners(const protocol::Configuration& configuration,
                                   const core::DatabaseId& database);

/// Part of `limit` that falls to `self`; the parts of all owners add up to `limit`. 0 for a non-owner.
std::uint32_t share(std::uint32_t limit, const std::vector<core::DaemonId>& owners,
                    const core::DaemonId& self);

/// What `self` may use of a database by this configuration alone.
Budget budget(const protocol::Configuration& configuration, const core::DatabaseId& database,
              const core::DaemonId& self);

}  // namespace pipitpond::ownership
