// Messages by which a daemon asks a tenant's home for the right to run an operation. Packed with msgpack.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "tenancy/quota_home.hpp"

namespace pipitpond::pooling {

/// An operation that a home granted and that surely did not run.
struct GivenBackOperation {
  core::TenantName tenant;
  tenancy::TokenNumber number = 0;

  MSGPACK_DEFINE(tenant, number);
};

/// Most of them in a question. What a daemon has beyond that is lost: its tenant has as much less.
inline constexpr std::size_t kMostGivenBack = 64;

/// Asks for one operation. Answered with a QuotaReply.
struct QuotaRequest {
  core::TenantName tenant;
  std::vector<GivenBackOperation> given_back;  ///< Of any tenants.

  MSGPACK_DEFINE(tenant, given_back);
};

/// What the home says.
struct QuotaReply {
  bool granted = false;
  bool is_home = false;             ///< False: it does not count this tenant's operations now.
  std::uint32_t retry_in_ms = 0;    ///< Not granted: when there may be one.
  tenancy::TokenNumber number = 0;  ///< Granted: by which it can be given back; 0: it can't.

  MSGPACK_DEFINE(granted, is_home, retry_in_ms, number);
};

inline QuotaReply reply_of(const tenancy::QuotaGrant& grant) {
  return QuotaReply{grant.granted, grant.is_home, static_cast<std::uint32_t>(core::to_millis(grant.retry_in)),
                    grant.number};
}

}  // namespace pipitpond::pooling
