// Makes one attempt at one database: on a connection of this daemon if it owns the database, else through a
// daemon that does. Goes on to another owner only while nothing was sent to the database.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <vector>

#include "agent/agent.hpp"
#include "core/clock.hpp"
#include "core/ids.hpp"
#include "protocol/forward.hpp"
#include "proxy/database_views.hpp"
#include "proxy/executor.hpp"
#include "proxy/owned_databases.hpp"
#include "proxy/owner_loads.hpp"
#include "proxy/peers.hpp"
#include "routing/owner_choice.hpp"

namespace pipitpond::proxy {

/// This daemon, as owners are compared.
struct DispatcherOptions {
  core::DaemonId self;
  core::ZoneName zone;
};

/// Sends attempts on their way.
class Dispatcher {
 public:
  Dispatcher(DispatcherOptions options, const agent::Agent& agent, OwnedDatabases& owned, Executor& executor,
             Peers& peers, DatabaseViews& views);

  /// Makes an attempt at `request.database` through one of its owners.
  boost::asio::awaitable<protocol::ForwardReply> attempt(protocol::ForwardRequest request,
                                                         core::Instant deadline);
  /// Makes an attempt through one daemon: the one that holds the transaction.
  boost::asio::awaitable<protocol::ForwardReply> attempt_at(core::DaemonId daemon,
                                                            protocol::ForwardRequest request,
                                                            core::Instant deadline);

  /// Attempts passed on to another daemon so far.
  [[nodiscard]] std::uint64_t forwarded() const { return forwarded_; }

 private:
  boost::asio::awaitable<protocol::ForwardReply> attempt_through_owners(protocol::ForwardRequest request,
                                                                        core::Instant deadline);
  [[nodiscard]] std::vector<core::DaemonId> owners_for(const core::GroupName& group,
                                                       const core::DatabaseId& database,
                                                       const core::TenantName& tenant) const;
  [[nodiscard]] routing::OwnerView view_of(const core::DaemonId& daemon,
                                           const core::DatabaseId& database) const;
  /// An attempt whose load at the owner counts for the tenant.
  boost::asio::awaitable<protocol::ForwardReply> counted_attempt_at(core::DaemonId daemon,
                                                                    protocol::ForwardRequest request,
                                                                    core::Instant deadline);

  DispatcherOptions options_;
  const agent::Agent& agent_;
  OwnedDatabases& owned_;
  Executor& executor_;
  Peers& peers_;
  DatabaseViews& views_;
  OwnerLoads owner_loads_;
  std::uint64_t forwarded_ = 0;
};

}  // namespace pipitpond::proxy
