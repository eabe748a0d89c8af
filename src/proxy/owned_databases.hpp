// The databases that this daemon owns now, kept in step with the configuration and the agent's budgets.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "agent/agent.hpp"
#include "core/ids.hpp"
#include "protocol/configuration.hpp"
#include "proxy/owned_database.hpp"

namespace pipitpond::proxy {

/// All owned databases.
class OwnedDatabases {
 public:
  OwnedDatabases(boost::asio::io_context& io, core::DaemonId self, agent::Agent& agent);

  /// Takes up new databases and gives up those that are no longer owned or were moved to another endpoint.
  /// `configuration` is the one that the agent has put in force.
  void apply(const protocol::Configuration& configuration);
  /// Passes the agent's budgets and lease on to pools and queues. Call often: budgets change without notice.
  void refresh_budgets();
  /// Gives all up, for a stop.
  void close();

  /// The owned database, or null.
  [[nodiscard]] std::shared_ptr<OwnedDatabase> find(const core::DatabaseId& database) const;
  [[nodiscard]] const std::map<core::DatabaseId, std::shared_ptr<OwnedDatabase>>& all() const {
    return owned_;
  }
  /// Connections held, also by databases that are being given up.
  [[nodiscard]] std::uint32_t held() const;

 private:
  void apply_group(const protocol::Group& group,
                   std::map<core::DatabaseId, std::shared_ptr<OwnedDatabase>>& next);
  std::shared_ptr<OwnedDatabase> take_up(const protocol::Group& group, const protocol::Database& declaration);

  boost::asio::io_context& io_;
  core::DaemonId self_;
  agent::Agent& agent_;
  std::map<core::DatabaseId, std::shared_ptr<OwnedDatabase>> owned_;
  /// Given up, but still lending connections.
  std::vector<std::shared_ptr<OwnedDatabase>> leaving_;
};

}  // namespace pipitpond::proxy
