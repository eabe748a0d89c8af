// The route table in force, indexed by the database name that callers connect to. Does no I/O.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/clock.hpp"
#include "protocol/configuration.hpp"

namespace pipitpond::pooling {

class Routes {
 public:
  void apply(const protocol::RouteTable& table);

  /// The route of a database name. If several match, the one with the shortest path prefix.
  [[nodiscard]] std::optional<protocol::Route> find(const std::string& database) const;
  [[nodiscard]] std::uint64_t version() const { return version_; }
  /// Transactions idle for this long are aborted; zero: never.
  [[nodiscard]] core::Duration transaction_idle_limit() const { return transaction_idle_limit_; }

 private:
  std::uint64_t version_ = 0;
  std::map<std::string, protocol::Route> by_database_;
  core::Duration transaction_idle_limit_{};
};

}  // namespace pipitpond::pooling
