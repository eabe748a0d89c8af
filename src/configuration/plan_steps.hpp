// Small steps that the plans of all operations share.
#pragma once

#include <string>
#include <utility>

#include "configuration/plan.hpp"

namespace pipitpond::configuration {

/// The operation is refused. `current`: revision of the thing as it stands.
inline Plan refused(core::ErrorKind kind, std::string message, std::string remedy,
                    protocol::Revision current = 0) {
  return Plan{core::Error{kind, std::move(message), std::move(remedy), 0}, current, std::nullopt};
}

/// The configuration already is as asked.
inline Plan unchanged(protocol::Revision current) {
  return Plan{std::nullopt, current, std::nullopt};
}

/// Value under `key`, or null.
template <typename Map, typename Key>
const typename Map::mapped_type* find(const Map& map, const Key& key) {
  const auto found = map.find(key);
  return found == map.end() ? nullptr : &found->second;
}

/// An empty change that follows on the configuration.
inline protocol::Change next_change(const protocol::Configuration& configuration) {
  protocol::Change change;
  change.revision = configuration.revision + 1;
  return change;
}

}  // namespace pipitpond::configuration
