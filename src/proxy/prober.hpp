// Keeps an eye on the owned databases: sends the probes that their monitors ask for, feeds what comes back to
// pools and views, and reports suspicions to control.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <vector>

#include "agent/agent.hpp"
#include "core/clock.hpp"
#include "core/ids.hpp"
#include "protocol/control_messages.hpp"
#include "proxy/database_views.hpp"
#include "proxy/owned_databases.hpp"

namespace pipitpond::proxy {

/// Probes all owned databases.
class Prober {
 public:
  Prober(boost::asio::io_context& io, agent::Agent& agent, OwnedDatabases& databases, DatabaseViews& views);

  /// Sends the probes that are due and reports suspicions. Call every failover::kMonitorInterval.
  void tick(core::Instant now);

 private:
  boost::asio::awaitable<void> probe(std::shared_ptr<OwnedDatabase> database);
  void judge(core::Instant now);
  void log_changes(const std::vector<protocol::SuspicionReport>& suspicions);

  boost::asio::io_context& io_;
  agent::Agent& agent_;
  OwnedDatabases& databases_;
  DatabaseViews& views_;
  std::map<core::DatabaseId, protocol::Suspicion> logged_;
};

}  // namespace pipitpond::proxy
