// Works out what one operation does to a configuration, without doing it. No I/O; same input, same plan.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "configuration/command.hpp"
#include "core/error.hpp"
#include "protocol/configuration.hpp"

namespace pipitpond::configuration {

/// Databases that hold a group's acknowledged writes: those named to the primary of the last completed
/// change.
using Members = std::set<core::DatabaseId>;

/// Start of the last known life of databases that have ended, in milliseconds of Unix time.
using LastBirths = std::map<core::DatabaseId, std::uint64_t>;

/// Outcome of an operation. Neither error nor change: the configuration already is as asked.
struct Plan {
  std::optional<core::Error> error;
  protocol::Revision current_revision = 0;  ///< Of the thing that the operation is about; 0: none.
  std::optional<protocol::Change> change;
};

/// State that a plan is made against.
struct PlanContext {
  const protocol::Configuration& configuration;
  protocol::Revision expected_revision = 0;
  /// Members of the last completed change of primary of the operation's group; empty before the first.
  Members promoted_members;
  /// Databases that have registered by themselves, ended, and been removed; null: none.
  const Members* removed_databases = nullptr;
  /// Of removed databases that said when they started; null: none.
  const LastBirths* removed_births = nullptr;
};

/// Plans any operation.
Plan plan(const PlanContext& context, const Operation& operation);

}  // namespace pipitpond::configuration
