// JSON of the operator API, see docs/API.md.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "configuration/command.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "protocol/configuration.hpp"
#include "raft/types.hpp"

namespace pipitpond::control {

/// Parse the body of PUT /v1/{groups,zones,policies}/NAME. Fail with kInvalidArgument.
core::Result<configuration::Command> parse_put_group(const core::GroupName& name, const std::string& body);
core::Result<configuration::Command> parse_put_zone(const core::ZoneName& name, const std::string& body);
core::Result<configuration::Command> parse_put_policy(const core::PolicyName& name, const std::string& body);
/// Parses the body of POST /v1/drain. Fails with kInvalidArgument.
core::Result<configuration::Command> parse_drain(const std::string& body);
/// Parses the body of POST /v1/policies/check and returns the policy's source. Fails with kInvalidArgument.
core::Result<std::string> parse_policy_check(const std::string& body);

/// Body of POST /v1/members.
struct MemberRequest {
  bool add = true;
  raft::Member member;
  core::RequestKey key;
};
core::Result<MemberRequest> parse_member(const std::string& body);

nlohmann::json to_json(const protocol::Group& group);
nlohmann::json to_json(const protocol::Zone& zone);
nlohmann::json to_json(const protocol::Policy& policy);
nlohmann::json to_json(const protocol::Daemon& daemon);
nlohmann::json to_json(const protocol::Control& control);
nlohmann::json to_json(const protocol::Configuration& configuration);
nlohmann::json to_json(const core::Error& error);

/// Converts the values of a map to a JSON array.
template <typename Map>
nlohmann::json list_json(const Map& map) {
  auto list = nlohmann::json::array();
  for (const auto& [name, value] : map) {
    list.push_back(to_json(value));
  }
  return list;
}

}  // namespace pipitpond::control
