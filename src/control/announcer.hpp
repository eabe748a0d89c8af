// Announces a started control replica to the proxy daemons over UDP.
//
// A daemon without a disk knows only the control replicas that its settings name. After a power failure of
// the whole fleet these may restart last, while other replicas already hold the configuration with the
// addresses of all daemons. Without announcements, 291 daemons served no request until the three configured
// ones of 9 replicas were up, 0.35 s after the first replica.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which use it without including it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "wire/datagram.hpp"

namespace pipitpond::control {

/// Returns the internal endpoints of the daemons that have not contacted this replica since it started.
using SilentDaemons = std::function<std::vector<core::Endpoint>()>;

/// Sends a fixed number of rounds of announcements after the replica has started.
class Announcer {
 public:
  Announcer(boost::asio::io_context& io, core::Endpoint self, SilentDaemons silent_daemons);

  /// Sends all rounds. Each round goes to the daemons that are still silent. The announcer must outlive the
  /// call.
  boost::asio::awaitable<void> run();
  /// Makes run() return without sending further datagrams.
  void stop() { stopped_ = true; }

  /// Announcements sent since the process started.
  [[nodiscard]] std::uint64_t sent() const { return sent_; }

 private:
  boost::asio::awaitable<void> announce_to(std::vector<core::Endpoint> daemons);
  boost::asio::awaitable<void> pause(core::Duration duration);

  boost::asio::io_context& io_;
  core::Endpoint self_;
  SilentDaemons silent_daemons_;
  std::unique_ptr<wire::DatagramSender> sender_;
  std::uint64_t sent_ = 0;
  bool stopped_ = false;
};

/// Several rounds, because a daemon may start after the first one and datagrams may be lost. The pause
/// doubles after each round, so that the last round is sent 1.9 s after the start.
inline constexpr int kAnnouncementRounds = 6;
inline constexpr core::Duration kFirstRoundPause = std::chrono::milliseconds(60);
/// Datagrams sent without a pause, and the pause after them: limits the load to about 30% of the CPU time of
/// a machine with 0.15 of a core.
inline constexpr std::size_t kAnnouncementBatchSize = 32;
inline constexpr core::Duration kAnnouncementBatchPause = std::chrono::milliseconds(10);

}  // namespace pipitpond::control
