// Choice of the owner daemon through which a database is reached.
#pragma once

#include <cstdint>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace pipitpond::routing {

/// What a daemon knows of one owner of a database.
struct OwnerView {
  core::DaemonId daemon;
  core::ZoneName zone;
  bool is_self = false;
  bool live = true;               ///< Live in the configuration and not suspected by this daemon.
  std::uint32_t slots = 0;        ///< Its share of the database's slots.
  std::uint32_t outstanding = 0;  ///< This daemon's calls in progress there; for self all of its queue.
  core::Duration tenant_wait{0};  ///< Expected wait of the request's tenant there; 0: none known.
  double tenant_sent = 0.0;       ///< Recent requests of the tenant from this daemon there.
};

/// Owners in the order of trying: self while it has a free slot, then others with one, same zone first; then
/// by the tenant's expected wait, and where that is alike so that owners get the tenant's requests in
/// proportion to their slots. Owners that are not live are left out.
std::vector<core::DaemonId> choose_owners(const std::vector<OwnerView>& owners, const core::ZoneName& zone);

}  // namespace pipitpond::routing
