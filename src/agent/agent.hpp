// The daemon's side of control: keeps the lease, the configuration and the connection budgets current. Driver
// with input and output of agent::Session; runs on the daemon's io_context.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <vector>

#include "agent/fetch_log.hpp"
#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "ownership/owner_table.hpp"
#include "ownership/ownership.hpp"
#include "protocol/configuration.hpp"
#include "protocol/control_messages.hpp"

namespace pipitpond::agent {

/// Who the daemon is and where control is.
struct AgentOptions {
  core::DaemonId daemon;
  core::ZoneName zone;
  core::Endpoint internal;              ///< Where other daemons reach this one.
  core::Endpoint callers;               ///< Where callers reach this one.
  std::vector<core::Endpoint> control;  ///< Internal endpoints of the control replicas, any order.
  /// Where to connect to for an endpoint that control names, if its addresses are translated on the way to
  /// this daemon. Empty: connect to the endpoint itself.
  std::function<core::Endpoint(const core::Endpoint&)> translate;
  /// Created when missing. Holds the last configuration. Empty: this machine has no disk; the daemon begins
  /// each life with what control tells, numbered by the clock.
  std::filesystem::path data_folder;
  /// See SessionOptions.
  core::Duration standstill_limit = std::chrono::milliseconds(100);
};

/// Called after a newer configuration was synced to disk and may be obeyed.
using ChangeCallback = std::function<void(const protocol::Configuration&)>;

/// One daemon's connection to control.
class Agent {
 public:
  /// Reads the last configuration from disk. Fails with kCorrupt when it can't be read.
  static core::Result<std::unique_ptr<Agent>> create(boost::asio::io_context& io, AgentOptions options);
  virtual ~Agent() = default;

  /// Begins heartbeats and fetches.
  virtual void start() = 0;
  /// Replaces the control replicas that the settings name.
  virtual void set_control(std::vector<core::Endpoint> control) = 0;
  /// Marks the daemon as leaving: from the next heartbeat (sent at once) it owns nothing new.
  virtual void set_leaving() = 0;
  /// Last message of a planned stop, when no request is in progress and no connection is held. Returns when
  /// the leader has acknowledged it or after `timeout`.
  virtual boost::asio::awaitable<void> depart(core::Duration timeout) = 0;

  /// The newest configuration that the daemon may obey. An empty one of revision 0 until control has
  /// proven one complete in this life (see Session::configuration_proven), also when an earlier life has
  /// stored one. The value changes with each ChangeCallback.
  [[nodiscard]] virtual const protocol::Configuration& configuration() const = 0;
  /// Registers a callback. All are called in the order of registration.
  virtual void on_change(ChangeCallback callback) = 0;

  /// True while control's lease is valid. Read the clock after the event that the answer shall cover.
  [[nodiscard]] virtual bool lease_valid(core::Instant now) const = 0;
  /// Every change that control acknowledged before this moment is part of configuration().
  [[nodiscard]] virtual core::Instant complete_until() const = 0;
  /// Connections and slots that this daemon may use of a database. It may shrink with each change of the
  /// configuration: close what is over it as soon as it is idle. Open new connections only with a lease.
  [[nodiscard]] virtual ownership::Budget allowed(const core::DatabaseId& database) const = 0;
  /// Owners of all databases by the last applied configuration, kept current change by change.
  [[nodiscard]] virtual const ownership::OwnerTable& owner_table() const = 0;
  /// Tells how many connections the pool holds on a database, opening ones included. Call on each change.
  virtual void report_held(const core::DatabaseId& database, std::uint32_t connections) = 0;

  /// The full list of suspicions. A heartbeat is sent at once when it differs from the last one in
  /// anything but lasted_ms.
  virtual void set_suspicions(std::vector<protocol::SuspicionReport> suspicions) = 0;

  /// Grows with each start of the daemon.
  [[nodiscard]] virtual std::uint64_t incarnation() const = 0;
  /// Leader's revision by its last reply, to tell how far behind this daemon is.
  [[nodiscard]] virtual protocol::Revision current_revision() const = 0;
  /// Bytes exchanged with control since start, both directions, frames included.
  [[nodiscard]] virtual std::uint64_t control_bytes() const = 0;
  /// What became of the fetches of the configuration.
  [[nodiscard]] virtual const FetchCounters& fetch_counters() const = 0;
};

}  // namespace pipitpond::agent
