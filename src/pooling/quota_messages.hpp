// Messages by which a daemon takes operations from a tenant's quota. They go to a home of the tenant: a
// daemon that counts its operations. Packed with msgpack.
#pragma once

#include <chrono>
#include <cstdint>
#include <msgpack.hpp>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "tenancy/quota_home.hpp"

namespace pipitpond::pooling {

/// An operation that a home granted and that definitely did not run.
struct GivenBackOperation {
  core::TenantName tenant;
  tenancy::TokenNumber number = 0;

  MSGPACK_DEFINE(tenant, number);
};

/// Limit on returned operations in one request. Further ones are dropped and stay charged to their tenant.
inline constexpr std::size_t kMaxGivenBackPerRequest = 64;

/// Asks for operations of a tenant's quota. Answered with a QuotaReply.
struct QuotaRequest {
  core::TenantName tenant;
  std::vector<GivenBackOperation> given_back;  ///< May belong to any tenant.
  std::uint32_t operations = 1;                ///< One for each waiting caller.
  std::uint32_t priority = 0;                  ///< Of the callers' route.

  MSGPACK_DEFINE(tenant, given_back, operations, priority);
};

/// A home's answer.
struct QuotaReply {
  bool granted = false;             ///< At least one operation was granted.
  bool is_home = false;             ///< False: the daemon grants nothing for this tenant now.
  std::uint32_t retry_in_ms = 0;    ///< Time to wait if fewer were granted than requested.
  tenancy::TokenNumber number = 0;  ///< Token of the first granted operation; the others follow it.
  std::uint32_t operations = 0;     ///< Number granted.

  MSGPACK_DEFINE(granted, is_home, retry_in_ms, number, operations);
};

inline QuotaReply to_quota_reply(const tenancy::QuotaGrant& grant) {
  const auto retry_in = std::chrono::ceil<std::chrono::milliseconds>(grant.retry_in);
  return QuotaReply{grant.granted > 0, grant.is_home, static_cast<std::uint32_t>(retry_in.count()),
                    grant.first, grant.granted};
}

}  // namespace pipitpond::pooling
