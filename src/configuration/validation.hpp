// Checks of what operators declare. Every error says what to do about it.
#pragma once

#include <optional>
#include <string>

#include "configuration/command.hpp"
#include "configuration/plan.hpp"
#include "core/error.hpp"
#include "protocol/configuration.hpp"

namespace pipitpond::configuration {

inline constexpr std::size_t kMaxNameBytes = 100;
inline constexpr std::size_t kMaxKeyBytes = 200;
inline constexpr std::size_t kMaxPolicyBytes = 64UL * 1024;
inline constexpr std::size_t kMaxDatabasesPerGroup = 9;

/// An error unless the name is 1 to kMaxNameBytes of letters, digits, '.', '_' and '-'.
std::optional<core::Error> check_name(const std::string& what, const std::string& name);

/// An error unless the identity is a machine's name, or one followed by '#' and a number of up to 16
/// hexadecimal digits: a replica that has joined later has such an identity.
std::optional<core::Error> check_control_id(const core::ControlId& id);

/// Checks a group against the rest of the configuration.
std::optional<core::Error> check_group(const protocol::Configuration& configuration, const PutGroup& put);

/// Checks that a revised group can't lose acknowledged writes: its databases change by one at most between
/// two changes of primary, so that every majority of the new set meets every majority of the old one.
std::optional<core::Error> check_membership(const protocol::Group& current, const PutGroup& put,
                                            const Members& promoted_members);

}  // namespace pipitpond::configuration
