// Messages by which a daemon asks a tenant's home for the right to run an operation. Packed with msgpack.
#pragma once

#include <chrono>
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
inline constexpr std::size_t kMaxGivenBackPerRequest = 64;

/// Asks for operations. Answered with a QuotaReply.
struct QuotaRequest {
  core::TenantName tenant;
  std::vector<GivenBackOperation> given_back;  ///< Of any tenants.
  std::uint32_t operations = 1;                ///< As many as wait for the answer.
  std::uint32_t priority = 0;                  ///< Of their route.

  MSGPACK_DEFINE(tenant, given_back, operations, priority);
};

/// What the home says.
struct QuotaReply {
  bool granted = false;             ///< At least one.
  bool is_home = false;             ///< False: it does not count this tenant's operations now.
  std::uint32_t retry_in_ms = 0;    ///< Granted less than was asked for: when to ask again.
  tenancy::TokenNumber number = 0;  ///< Granted: by which the first can be given back; the others follow it.
  std::uint32_t operations = 0;     ///< Granted.

  MSGPACK_DEFINE(granted, is_home, retry_in_ms, number, operations);
};

inline QuotaReply reply_of(const tenancy::QuotaGrant& grant) {
  const auto retry_in = std::chrono::ceil<std::chrono::milliseconds>(grant.retry_in);
  return QuotaReply{grant.granted > 0, grant.is_home, static_cast<std::uint32_t>(retry_in.count()),
                    grant.first, grant.granted};
}

}  // namespace pipitpond::pooling
