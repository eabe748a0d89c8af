// Tenants: who may ask, by which keys, and how much. Part of the table of routes.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.hpp"

namespace pipitpond::protocol {

/// Digest of a caller's key (see tenancy::digest_of). Daemons hold and compare digests, never keys.
struct KeyDigest {
  std::string bytes;  ///< kKeyDigestBytes of them; empty: no key.

  auto operator<=>(const KeyDigest&) const = default;

  MSGPACK_DEFINE(bytes);
};

inline constexpr std::size_t kKeyDigestBytes = 16;

/// How many operations a tenant may ask for, on all daemons together.
struct TenantQuota {
  std::uint32_t rate_per_s = 0;
  std::uint32_t burst = 0;  ///< Operations that may come at once after a rest.

  auto operator<=>(const TenantQuota&) const = default;

  MSGPACK_DEFINE(rate_per_s, burst);
};

/// A tenant. Without keys it may ask for nothing.
struct Tenant {
  core::TenantName name;
  std::vector<KeyDigest> keys;
  std::uint32_t priority = 0;        ///< Between requests of routes of one priority; 0 goes first.
  std::optional<TenantQuota> quota;  ///< Empty: unlimited.

  bool operator==(const Tenant&) const = default;

  MSGPACK_DEFINE(name, keys, priority, quota);
};

/// All tenants, by name in order.
using Tenants = std::vector<Tenant>;

/// What turns one list of tenants into the next: a changed quota of 84 tenants takes below 200 bytes.
struct TenantsEdit {
  std::vector<Tenant> put;  ///< New or changed.
  std::vector<core::TenantName> removed;

  MSGPACK_DEFINE(put, removed);
};

/// The edit between two lists, each in order of names without repetition.
TenantsEdit edit_between(const Tenants& before, const Tenants& after);
/// The list after the edit, in order of names.
void apply(Tenants& tenants, const TenantsEdit& edit);

}  // namespace pipitpond::protocol

template <>
struct std::hash<pipitpond::protocol::KeyDigest> {
  std::size_t operator()(const pipitpond::protocol::KeyDigest& digest) const noexcept {
    return std::hash<std::string>{}(digest.bytes);
  }
};
