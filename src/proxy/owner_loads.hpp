// How long a tenant's requests wait at each owner of a database, as this daemon sees it. Owners share their
// slots between tenants, each for itself, so a tenant within its share of the database is served well only if
// no owner gets more of its requests than fits its share there, however long other tenants' queues are.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "protocol/forward.hpp"

namespace pipitpond::proxy {

/// A tenant's requests for one database at one of its owners.
struct OwnerLoadKey {
  core::DatabaseId database;
  core::DaemonId owner;
  core::TenantName tenant;

  auto operator<=>(const OwnerLoadKey&) const = default;
};

/// What is known of them now.
struct TenantLoad {
  core::Duration wait{0};    ///< Expected until a further request would start; 0 when nothing is known.
  double sent_lately = 0.0;  ///< Requests of this daemon, fading.
};

/// Learns from this daemon's own attempts. Memory is bounded: what has faded is forgotten.
class OwnerLoads {
 public:
  void begin(const OwnerLoadKey& key, core::Instant now);
  /// `sent_at` is the time of the begin. Takes the time in the owner's queue from the reply.
  void end(const OwnerLoadKey& key, const protocol::ForwardReply& reply, core::Instant sent_at,
           core::Instant now);
  /// `slots` is the owner's share of the database's slots.
  [[nodiscard]] TenantLoad load(const OwnerLoadKey& key, std::uint32_t slots, core::Instant now) const;
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::uint32_t outstanding = 0;
    double sent = 0.0;        // As of `faded_at`.
    double queued_us = 0.0;   // Recent time in the queue, as of `faded_at`.
    double service_us = 0.0;  // Moving average; does not fade.
    core::Instant faded_at;
  };

  static double fading(const Entry& entry, core::Instant now);
  static void fade(Entry& entry, core::Instant now);
  void forget_faded(core::Instant now);

  std::map<OwnerLoadKey, Entry> entries_;
  std::uint32_t begun_ = 0;
};

}  // namespace pipitpond::proxy
