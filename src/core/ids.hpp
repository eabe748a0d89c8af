// Typed names of the things the fleet handles, so that a zone can never be passed for a database.
#pragma once

#include <compare>
#include <functional>
#include <msgpack.hpp>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <utility>

namespace pipitpond::core {

/// A name that is distinct in type from every other kind of name. Empty means "none".
template <typename Tag>
class NamedId {
 public:
  NamedId() = default;
  explicit NamedId(std::string value) : value_(std::move(value)) {}

  [[nodiscard]] const std::string& value() const { return value_; }
  [[nodiscard]] bool empty() const { return value_.empty(); }

  auto operator<=>(const NamedId&) const = default;

  MSGPACK_DEFINE(value_);

 private:
  std::string value_;
};

template <typename Tag>
std::ostream& operator<<(std::ostream& out, const NamedId<Tag>& id) {
  return out << id.value();
}

template <typename Tag>
void to_json(nlohmann::json& json, const NamedId<Tag>& id) {
  json = id.value();
}

template <typename Tag>
void from_json(const nlohmann::json& json, NamedId<Tag>& id) {
  id = NamedId<Tag>(json.get<std::string>());
}

/// A proxy daemon. Stable over restarts; the incarnation number tells lives apart.
using DaemonId = NamedId<struct DaemonTag>;
/// A control replica. A replica whose disk was lost returns under a new identity.
using ControlId = NamedId<struct ControlTag>;
/// One database server of a group.
using DatabaseId = NamedId<struct DatabaseTag>;
/// A database group: one primary and its replicas.
using GroupName = NamedId<struct GroupTag>;
/// An availability zone.
using ZoneName = NamedId<struct ZoneTag>;
/// A region, made of zones.
using RegionName = NamedId<struct RegionTag>;
/// A routing policy.
using PolicyName = NamedId<struct PolicyTag>;
/// A tenant that shares a group with others.
using TenantName = NamedId<struct TenantTag>;
/// A key chosen by a caller or operator that makes a resent request recognisable.
using RequestKey = NamedId<struct RequestKeyTag>;
/// Identifies one caller request through the whole fleet; written to logs.
using RequestId = NamedId<struct RequestIdTag>;
/// An open transaction, opaque to callers.
using TransactionId = NamedId<struct TransactionTag>;

}  // namespace pipitpond::core

template <typename Tag>
struct std::hash<pipitpond::core::NamedId<Tag>> {
  std::size_t operator()(const pipitpond::core::NamedId<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.value());
  }
};
