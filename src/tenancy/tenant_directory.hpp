// Tenants by their keys and names, as the table of routes in force has them. No input or output.
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>

#include "core/ids.hpp"
#include "protocol/configuration.hpp"

namespace pipitpond::tenancy {

/// Looks tenants up.
class TenantDirectory {
 public:
  void apply(const protocol::RouteTable& table);

  /// False when the table knows no tenants: then nobody needs a key.
  [[nodiscard]] bool keys_needed() const { return keys_needed_; }
  /// The tenant that holds the key now, or null.
  [[nodiscard]] const protocol::Tenant* holder(const protocol::KeyDigest& key) const;
  /// The tenant of that name, or null.
  [[nodiscard]] const protocol::Tenant* find(const core::TenantName& name) const;
  [[nodiscard]] const std::map<core::TenantName, protocol::Tenant>& tenants() const { return tenants_; }

 private:
  std::uint64_t version_ = 0;
  bool keys_needed_ = false;
  std::map<core::TenantName, protocol::Tenant> tenants_;
  std::unordered_map<protocol::KeyDigest, const protocol::Tenant*> holders_;  ///< Points into tenants_.
};

}  // namespace pipitpond::tenancy
