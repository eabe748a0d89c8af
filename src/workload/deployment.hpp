// One deployment as a workload sees it: proxies by zone, groups, and how its callers behave.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/ids.hpp"

namespace pipitpond::workload {

/// A proxy that callers can reach.
struct ProxyAddress {
  std::string name;
  core::ZoneName zone;
  core::Endpoint endpoint;
};

/// How reads find their database: the product's way, or one of the baselines it is compared with.
enum class Variant : std::uint8_t {
  kSession,      ///< Session tokens and fresh replicas (the product).
  kPrimaryOnly,  ///< Every read goes to the primary.
  kFixedPinning  ///< Reads go to the primary for a fixed time after the session's last write, else anywhere.
};

/// How long fixed-time pinning keeps a session at the primary after its last write.
inline constexpr core::Duration kPinningTime = std::chrono::seconds(2);
/// Tenant whose reads the baselines' policy sends to the primary.
inline constexpr const char* kPrimaryTenant = "primary";

/// The deployment and the size of its workload.
struct Deployment {
  std::string name;                   ///< "archive" or "kigali".
  std::vector<core::ZoneName> zones;  ///< In the order in which the sun reaches them.
  std::vector<ProxyAddress> proxies;
  std::vector<core::GroupName> groups;
  core::Duration client_delay{0};  ///< One way between a caller and a proxy.
  Variant variant = Variant::kSession;
  std::uint32_t writers = 0;     ///< Ingest pipelines or phones.
  std::uint32_t confirmers = 0;  ///< Rangers; none in the archive.
  std::uint32_t readers = 0;     ///< Astronomers or readers of the public board.
};

/// Today's archive: about 1 ms from callers to proxies.
Deployment archive_today();
/// Today's Kigali bird count: about 3 ms from callers to proxies.
Deployment kigali_today();

}  // namespace pipitpond::workload
