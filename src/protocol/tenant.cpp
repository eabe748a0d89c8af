#include "protocol/tenant.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace pipitpond::protocol {
namespace {

using TenantsByName = std::map<core::TenantName, Tenant>;

TenantsByName by_name(const Tenants& tenants) {
  TenantsByName found;
  for (const Tenant& tenant : tenants) {
    found[tenant.name] = tenant;
  }
  return found;
}

}  // namespace

TenantsEdit edit_between(const Tenants& before, const Tenants& after) {
  const TenantsByName old_ones = by_name(before);
  const TenantsByName new_ones = by_name(after);
  TenantsEdit edit;
  for (const auto& [name, tenant] : new_ones) {
    const auto known = old_ones.find(name);
    if (known == old_ones.end() || known->second != tenant) {
      edit.put.push_back(tenant);
    }
  }
  for (const auto& [name, tenant] : old_ones) {
    if (!new_ones.contains(name)) {
      edit.removed.push_back(name);
    }
  }
  return edit;
}

void apply(Tenants& tenants, const TenantsEdit& edit) {
  TenantsByName next = by_name(tenants);
  for (const core::TenantName& name : edit.removed) {
    next.erase(name);
  }
  for (const Tenant& tenant : edit.put) {
    next[tenant.name] = tenant;
  }
  tenants.clear();
  for (auto& [name, tenant] : next) {
    tenants.push_back(std::move(tenant));
  }
}

}  // namespace pipitpond::protocol
