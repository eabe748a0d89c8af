#include "tenancy/tenant_directory.hpp"

namespace pipitpond::tenancy {

void TenantDirectory::apply(const protocol::RouteTable& table) {
  if (table.version == version_) {
    return;
  }
  version_ = table.version;
  keys_needed_ = table.tenants.has_value();
  holders_.clear();
  tenants_.clear();
  if (!table.tenants) {
    return;
  }
  for (const protocol::Tenant& tenant : *table.tenants) {
    tenants_[tenant.name] = tenant;
  }
  for (const auto& [name, tenant] : tenants_) {
    for (const protocol::KeyDigest& key : tenant.keys) {
      holders_[key] = &tenant;
    }
  }
}

const protocol::Tenant* TenantDirectory::holder(const protocol::KeyDigest& key) const {
  const auto found = holders_.find(key);
  return found == holders_.end() ? nullptr : found->second;
}

const protocol::Tenant* TenantDirectory::find(const core::TenantName& name) const {
  const auto found = tenants_.find(name);
  return found == tenants_.end() ? nullptr : &found->second;
}

}  // namespace pipitpond::tenancy
