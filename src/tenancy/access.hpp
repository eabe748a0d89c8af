// Whether a caller's key lets a statement run now. No input or output.
//
// A key that control has removed must stop working on every machine, also on one that is cut off, frozen or
// just restarted and does not know. So a daemon judges keys only while it can prove that its table holds
// every change that was acknowledged before a recent moment: see agent::Agent::complete_until.
#pragma once

#include <cstdint>
#include <optional>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "protocol/configuration.hpp"
#include "tenancy/tenant_directory.hpp"

namespace pipitpond::tenancy {

/// What was decided.
enum class Verdict : std::uint8_t {
  kAllowed,
  kUnknownKey,  ///< No tenant holds the key.
  kUncertain,   ///< The table may lack a change; another daemon, or this one a little later, can tell.
};

/// Stable text of a verdict, for logs.
const char* to_string(Verdict verdict);

/// A verdict, and whom the caller asks for.
struct Access {
  Verdict verdict = Verdict::kUncertain;
  core::TenantName tenant;  ///< Empty: nobody in particular, on public routes and without tenants.
  std::uint32_t priority = 0;
};

/// How much a daemon may lag.
struct AccessLimits {
  /// After the acknowledgement of a change that removes a key, no daemon runs a statement with it for longer.
  /// Nothing: daemons judge by the table that they have, however old.
  std::optional<core::Duration> revocation;
};

/// Of the time for a revocation, kept back for a statement's way after the last check: it waits 180 ms at the
/// most at owners of connections, and clocks of daemons may differ in rate by 5% (250 ms of 5 s).
inline constexpr core::Duration kRevocationMargin = std::chrono::milliseconds(500);

/// True while the table is complete up to a moment that is recent enough.
bool keys_are_certain(const AccessLimits& limits, core::Instant complete_until, core::Instant now);

/// Judges a statement of a route.
Access judge(const TenantDirectory& directory, const protocol::Route& route, const protocol::KeyDigest& key,
             bool certain);

}  // namespace pipitpond::tenancy
