#include "tenancy/access.hpp"

namespace pipitpond::tenancy {

const char* to_string(Verdict verdict) {
  switch (verdict) {
    case Verdict::kAllowed:
      return "allowed";
    case Verdict::kUnknownKey:
      return "unknown_key";
    case Verdict::kUncertain:
      return "keys_not_certain";
  }
  return "unknown";
}

bool keys_are_certain(const AccessLimits& limits, core::Instant complete_until, core::Instant now) {
  return !limits.revocation || now - complete_until < *limits.revocation - kRevocationMargin;
}

Access judge(const TenantDirectory& directory, const protocol::Route& route, const protocol::KeyDigest& key,
             bool certain) {
  if (!directory.keys_needed()) {
    return Access{Verdict::kAllowed, {}, 0};
  }
  const protocol::Tenant* tenant = directory.holder(key);
  if (route.is_public && (tenant == nullptr || !certain)) {
    return Access{Verdict::kAllowed, {}, 0};
  }
  if (!certain) {
    return Access{Verdict::kUncertain, {}, 0};
  }
  if (tenant == nullptr) {
    return Access{Verdict::kUnknownKey, {}, 0};
  }
  return Access{Verdict::kAllowed, tenant->name, tenant->priority};
}

}  // namespace pipitpond::tenancy
