// What callers and daemons of the group world say to each other.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "core/clock.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"
#include "core/outcome.hpp"

namespace pipitpond::simulation::group {

/// One statement of a caller.
struct CallerRequest {
  core::GroupName group;
  core::StatementKind kind = core::StatementKind::kRead;
  nlohmann::json statement;
  core::RequestKey key;  ///< Empty: none.
  bool repeatable = false;
  std::string session;
  core::Duration deadline = std::chrono::seconds(2);  ///< From its arrival.
};

/// The daemon's answer.
struct CallerReply {
  core::Outcome outcome = core::Outcome::kUnknown;
  core::Error error;  ///< Meaningful unless done.
  std::string result;
  core::LogPosition position;
  std::string session;
  core::DatabaseId database;
  bool by_replica = false;  ///< A read that a replica served.
  core::Term by_term = 0;   ///< A write: term of the primary that answered.
  core::Instant decided;    ///< True time at which the daemon answered: for the oracle.
};

}  // namespace pipitpond::simulation::group
