// The routes in force, looked up by the database name that callers ask for. No input or output.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/clock.hpp"
#include "protocol/configuration.hpp"

namespace pipitpond::pooling {

/// Routes by database name.
class Routes {
 public:
  void apply(const protocol::RouteTable& table);

  /// The route of a database name: of several, the one with the shortest prefix.
  [[nodiscard]] std::optional<protocol::Route> find(const std::string& database) const;
  [[nodiscard]] std::uint64_t version() const { return version_; }
  /// A transaction without a statement for this long is ended; zero: never.
  [[nodiscard]] core::Duration transaction_idle_limit() const { return transaction_idle_limit_; }

 private:
  std::uint64_t version_ = 0;
  std::map<std::string, protocol::Route> by_database_;
  core::Duration transaction_idle_limit_{};
};

}  // namespace pipitpond::pooling
