// Works out what one operation does to a configuration, without doing it. No I/O; same input, same plan.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "configuration/command.hpp"
#include "core/error.hpp"
#include "protocol/configuration.hpp"

namespace pipitpond::configuration {

/// Databases that hold a group's acknowledged writes: those named to the primary of the last completed
/// change.
using Members = std::set<core::DatabaseId>;

/// When databases were started; 0: not told.
using Births = std::map<core::DatabaseId, std::uint64_t>;

/// A database that is gone.
struct EndedDatabase {
  core::DatabaseId database;
  std::uint64_t born = 0;  ///< 0: not told.
};

/// Outcome of an operation. Neither error nor change: the configuration already is as asked.
struct Plan {
  std::optional<core::Error> error;
  protocol::Revision current_revision = 0;  ///< Of the thing that the operation is about; 0: none.
  std::optional<protocol::Change> change;
  /// Databases that self-registered ones have replaced at their endpoints, in order.
  std::vector<EndedDatabase> replaced = {};
  std::vector<RefusedDatabase> refused = {};  ///< Of ChangeDatabases.
};

/// State that a plan is made against.
struct PlanContext {
  const protocol::Configuration& configuration;
  protocol::Revision expected_revision = 0;
  /// Members of the last completed change of primary of the operation's group; empty before the first.
  Members promoted_members;
  /// Databases that have registered by themselves, ended, and been removed; null: none.
  const Members* removed_databases = nullptr;
  /// Of those removed databases that have told it; null: none.
  const Births* removed_births = nullptr;
};

/// Plans any operation.
Plan plan(const PlanContext& context, const Operation& operation);

}  // namespace pipitpond::configuration
