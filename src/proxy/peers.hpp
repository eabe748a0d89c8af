// Channels to the other daemons of the fleet: passes requests on, notices daemons that have fallen silent,
// and gives up what waits for those. See docs/design/forwarding.md.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "protocol/configuration.hpp"
#include "protocol/forward.hpp"
#include "proxy/waiter.hpp"
#include "routing/peer_clock.hpp"
#include "routing/peer_health.hpp"
#include "wire/channel.hpp"

namespace pipitpond::proxy {

/// What became of a request that was passed on.
using Forwarded = core::Result<protocol::ForwardReply>;

/// One other daemon.
struct Peer {
  core::DaemonId daemon;
  core::Endpoint endpoint;
  std::uint64_t incarnation = 0;
  std::unique_ptr<wire::Channel> channel;
  routing::PeerHealth health;
  routing::PeerClock clock;
  bool contacted = false;            ///< It has answered since it was last lost.
  std::uint64_t bytes_received = 0;  ///< At the last tick.
  std::uint32_t outstanding = 0;     ///< Requests in progress, those included that wait for its first answer.
  std::set<std::shared_ptr<Waiter<Forwarded>>> waiting;  ///< Requests that were sent to it.

  /// Requests may be sent to it.
  [[nodiscard]] bool answers() const { return health.state() == routing::PeerState::kAnswering; }
};

/// Counters since start.
struct PeerCounts {
  std::uint64_t fell_silent = 0;  ///< Daemons taken as silent.
  std::uint64_t given_up = 0;     ///< Requests given up because their daemon fell silent.
};

/// All other daemons that the configuration names.
class Peers {
 public:
  Peers(boost::asio::io_context& io, core::DaemonId self);

  /// Creates and drops channels.
  void apply(const protocol::Configuration& configuration);
  /// Sends pings that are due and gives up on daemons that have fallen silent. Call every kMonitorInterval.
  void tick(core::Instant now);

  /// Passes a request on. Fails with kConnectionRefused when it was not sent, else with kConnectionLost or
  /// kTimeout: then the other daemon may have made the attempt.
  boost::asio::awaitable<Forwarded> forward(core::DaemonId daemon, protocol::ForwardRequest request,
                                            core::Duration timeout);

  /// The peer, or null.
  [[nodiscard]] const Peer* find(const core::DaemonId& daemon) const;
  [[nodiscard]] const PeerCounts& counts() const { return counts_; }
  /// Daemons to which no requests are sent now.
  [[nodiscard]] std::size_t silent() const;

 private:
  using PeerPointer = std::shared_ptr<Peer>;

  /// Asks for a sign of life.
  static boost::asio::awaitable<void> ping(PeerPointer peer, core::Duration timeout);
  boost::asio::awaitable<Forwarded> send(PeerPointer peer, protocol::ForwardRequest request,
                                         core::Duration timeout);
  static boost::asio::awaitable<void> call(PeerPointer peer, protocol::ForwardRequest request,
                                           core::Duration timeout,
                                           std::shared_ptr<Waiter<Forwarded>> waiting);
  void check(const PeerPointer& peer, core::Instant now);
  void give_up_waiting(Peer& peer);

  boost::asio::io_context& io_;
  core::DaemonId self_;
  std::map<core::DaemonId, PeerPointer> peers_;
  core::Instant last_tick_;
  PeerCounts counts_;
};

}  // namespace pipitpond::proxy
