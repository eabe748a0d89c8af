// Messages by which a daemon asks a tenant's home for the right to run an operation. Packed with msgpack.
#pragma once

#include <cstdint>
#include <msgpack.hpp>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "tenancy/quota_home.hpp"

namespace pipitpond::pooling {

/// Asks for one operation. Answered with a QuotaReply.
struct QuotaRequest {
  core::TenantName tenant;

  MSGPACK_DEFINE(tenant);
};

/// What the home says.
struct QuotaReply {
  bool granted = false;
  bool is_home = false;           ///< False: it does not count this tenant's operations now.
  std::uint32_t retry_in_ms = 0;  ///< Not granted: when there may be one.

  MSGPACK_DEFINE(granted, is_home, retry_in_ms);
};

inline QuotaReply reply_of(const tenancy::QuotaGrant& grant) {
  return QuotaReply{grant.granted, grant.is_home,
                    static_cast<std::uint32_t>(core::to_millis(grant.retry_in))};
}

}  // namespace pipitpond::pooling
